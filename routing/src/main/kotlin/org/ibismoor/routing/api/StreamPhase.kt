/**
 * How far a request has come.
 */
package org.ibismoor.routing.api

enum class StreamPhase {
    /** It waits for room at its upstream group. */
    QUEUED,

    /** It waits for its reservation. */
    RESERVING,

    /** It is reserved and waits for its first attempt or the next one. */
    WAITING,

    /** An attempt is under way at an upstream. */
    RUNNING,

    /** The whole answer is here and waits for its charge. */
    ANSWERED,
}
