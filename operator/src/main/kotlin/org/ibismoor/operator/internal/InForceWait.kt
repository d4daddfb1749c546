/**
 * Polls the control processes until one shows a configuration number as in force, which means that every live router
 * has reported it.
 */
package org.ibismoor.operator.internal

import org.ibismoor.operator.api.ControlPort
import org.ibismoor.runtime.api.RuntimeClock

private const val MILLIS_PER_SECOND = 1_000L

internal class InForceWait(
    private val port: ControlPort,
    private val controlUrls: List<String>,
    private val waitSeconds: Long,
    private val clock: RuntimeClock,
    private val pause: () -> Unit,
) {
    /**
     * Blocks, and returns false if [number] did not come into force in time. Every process is asked at least once, and
     * no round of calls starts after the time.
     */
    fun awaitInForce(number: Long): Boolean {
        val deadline = clock.now() + waitSeconds * MILLIS_PER_SECOND
        var isInForce = hasInForce(number)
        while (!isInForce && clock.now() < deadline) {
            pause()
            isInForce = hasInForce(number)
        }
        return isInForce
    }

    private fun hasInForce(number: Long): Boolean =
        controlUrls.any { url -> (port.status(url)?.inForce ?: 0) >= number }
}
