/**
 * Phases of a request at this router. The lower-case names are values of a metrics label.
 */
package org.ibismoor.routing.api

enum class StreamPhase {
    /** Waits for capacity of its upstream group. */
    QUEUED,

    /** Waits for its reservation. */
    RESERVING,

    /** Has a reservation and waits for its first or next attempt. */
    WAITING,

    /** An attempt is in progress at an upstream. */
    RUNNING,

    /** The answer is complete and waits for its charge to be durable. */
    ANSWERED,
}
