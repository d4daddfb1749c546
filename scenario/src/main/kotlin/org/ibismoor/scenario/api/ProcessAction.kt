/**
 * What can happen to a process in a scenario.
 */
package org.ibismoor.scenario.api

enum class ProcessAction {
    /** The process dies. A control process keeps its synced records. */
    KILL,

    /** A dead process starts again: a control process from its records, a router with a new session. */
    START,

    /** A control process dies and its disk is lost; it starts empty under the next epoch. */
    LOSE_DISK,

    /** A control process dies in its next write to the disk, of which only a first part is there afterwards. */
    TEAR_WRITE,

    /** The disk of a control process is full: it dies in its next write, of which nothing is on the disk. */
    FILL_DISK,

    /** The process stands still. Messages to it wait. */
    FREEZE,

    /** A frozen process goes on. */
    THAW,

    /** A router is told to drain, a control process to shut down. */
    DRAIN,
}
