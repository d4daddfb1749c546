/**
 * A running engine stand-in.
 */
package org.ibismoor.standin.api

interface EngineStandIn : AutoCloseable {
    val port: Int
    val counts: EngineCounts

    /** From now on the engine says that it is leaving. It still takes work, and counts it. */
    fun leave()
}
