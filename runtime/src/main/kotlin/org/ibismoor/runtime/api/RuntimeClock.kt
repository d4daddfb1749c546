/**
 * Clock of a control loop. Production uses the monotonic time source of the platform; tests use the virtual time of a
 * test scheduler.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime

interface RuntimeClock {
    fun now(): Timestamp

    fun wallTime(): WallTime
}
