/**
 * Faults and operations that a scenario can apply to a process.
 */
package org.ibismoor.scenario.api

enum class ProcessAction {
    /** The process dies. A control process keeps its synced records. */
    KILL,

    /** A dead process restarts: a control process from its records, a router with a new session. */
    START,

    /** A control process dies and its disk is lost; it starts empty under the next epoch. */
    LOSE_DISK,

    /** A control process dies during its next disk write, of which only the first part is stored. */
    TEAR_WRITE,

    /** The disk of a control process is full: it dies during its next write, of which nothing is stored. */
    FILL_DISK,

    /** The process is suspended. Messages to it are queued. */
    FREEZE,

    /** A frozen process resumes. */
    THAW,

    /** A router starts to drain; a control process is asked to shut down. */
    DRAIN,
}
