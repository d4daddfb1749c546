/**
 * An upstream as one router knows it: its entry in the list, what it said of its load, and this router's own evidence.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.Timestamp

data class UpstreamRow(
    val entry: UpstreamEntry,
    /** Requests of this router that the upstream has. */
    val inFlight: Int = 0,
    /** Prompt tokens of this router's requests that have no event yet. */
    val pendingPromptTokens: Long = 0,
    val load: UpstreamLoad? = null,
    /** Requests that this router has sent since [load] was reported. */
    val sentSinceLoad: Int = 0,
    val failures: FailureRow = FailureRow(),
    /** When this router last sent a prompt part to the upstream, by the part's identifier. */
    val parts: PersistentMap<String, Timestamp> = persistentHashMapOf(),
    /** What other routers have sent to the upstream, by the router's address. */
    val peers: PersistentMap<String, PeerUse> = persistentHashMapOf(),
)

/** Load as an upstream reported it with an answer at [at]. */
data class UpstreamLoad(val running: Int, val waiting: Int, val slots: Int, val at: Timestamp)

/** Failures of an upstream. [rate] is an exponentially weighted share of failed requests as of [at]. */
data class FailureRow(
    val consecutive: Int = 0,
    val rate: Double = 0.0,
    val at: Timestamp = Timestamp(0),
    val ejections: Int = 0,
    val ejectedUntil: Timestamp = Timestamp(0),
)
