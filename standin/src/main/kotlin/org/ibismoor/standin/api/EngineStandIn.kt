/**
 * A running engine stand-in.
 */
package org.ibismoor.standin.api

interface EngineStandIn : AutoCloseable {
    val port: Int
    val counts: EngineCounts

    /** Reports the engine as leaving from now on. It still accepts requests and counts them separately. */
    fun markLeaving()
}
