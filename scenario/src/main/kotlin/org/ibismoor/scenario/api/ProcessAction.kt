/**
 * What can happen to a process in a scenario.
 */
package org.ibismoor.scenario.api

enum class ProcessAction {
    /** The process dies. A control process keeps its synced records. */
    KILL,

    /** The process starts again: a control process from its records, a router with a new session. */
    START,

    /** A control process dies and its disk is lost; it starts empty under the next epoch. */
    LOSE_DISK,

    /** The process stands still. Messages to it wait. */
    FREEZE,

    /** A frozen process goes on. */
    THAW,

    /** A router is told to drain, a control process to shut down. */
    DRAIN,
}
