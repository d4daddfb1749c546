/**
 * Polls the control processes until one shows a configuration number as in force, which means that every live router
 * has reported it.
 */
package org.ibismoor.operator.internal

import org.ibismoor.operator.api.ControlPort
import java.util.concurrent.TimeUnit

private const val POLL_INTERVAL_MILLIS = 250L
private const val POLLS_PER_SECOND = 4

internal class InForceWait(
    private val port: ControlPort,
    private val controlUrls: List<String>,
    private val waitSeconds: Long,
) {
    /** Blocks, and returns false if [number] did not come into force in time. */
    fun awaitInForce(number: Long): Boolean =
        (0..waitSeconds * POLLS_PER_SECOND).any { poll ->
            if (poll > 0) TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS)
            controlUrls.any { url -> (port.status(url)?.inForce ?: 0) >= number }
        }
}
