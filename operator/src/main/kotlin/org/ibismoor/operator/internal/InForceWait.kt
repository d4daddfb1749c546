/**
 * Waits until every live router has reported a configuration number. It asks the control processes once in a while.
 */
package org.ibismoor.operator.internal

import org.ibismoor.operator.api.ControlPort
import java.util.concurrent.TimeUnit

private const val STEP_MILLIS = 250L
private const val STEPS_PER_SECOND = 4

internal class InForceWait(
    private val port: ControlPort,
    private val controls: List<String>,
    private val seconds: Long,
) {
    /** Whether [number] came into force in time. */
    fun until(number: Long): Boolean =
        (0..seconds * STEPS_PER_SECOND).any { step ->
            if (step > 0) TimeUnit.MILLISECONDS.sleep(STEP_MILLIS)
            controls.any { url -> (port.status(url)?.inForce ?: 0) >= number }
        }
}
