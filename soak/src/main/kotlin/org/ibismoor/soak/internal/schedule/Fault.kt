/**
 * Faults that a soak injects from outside the fleet. They are values, so that a schedule can be saved and replayed.
 */
package org.ibismoor.soak.internal.schedule

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal sealed interface Fault

/** Sends SIGTERM; the process is started again at the end of the fault. */
@Serializable
@SerialName("terminate")
internal data class TerminateProcess(val process: String) : Fault

/** Sends SIGKILL; the process is started again at the end of the fault, without its disk if [isDiskLost]. */
@Serializable
@SerialName("kill")
internal data class KillProcess(val process: String, val isDiskLost: Boolean = false) : Fault

/** Sends SIGSTOP, and SIGCONT at the end of the fault. */
@Serializable
@SerialName("pause")
internal data class PauseProcess(val process: String) : Fault

/** Disturbs the connections that [source], or any host if null, opens to [target]. */
@Serializable
@SerialName("link")
internal data class DisturbLink(val source: String?, val target: String, val disturbance: Disturbance) : Fault

@Serializable
internal enum class Disturbance {
    DELAY,

    /** Resets open connections and new ones. */
    RESET,

    /** Holds back the bytes towards the target; they arrive after the fault. */
    CUT_REQUESTS,

    /** Holds back the bytes from the target; they arrive after the fault. */
    CUT_ANSWERS,

    /** Silences the open connections for good; new ones work. */
    SILENCE,

    /** Limits each connection to a few kilobytes a second. */
    SLOW,

    /** Closes connections in the middle of the bytes from the target. */
    TRUNCATE,
}

@Serializable
@SerialName("upstream")
internal data class DisturbUpstream(val upstream: String, val trouble: UpstreamTrouble) : Fault

@Serializable
internal enum class UpstreamTrouble {
    /** Runs requests and closes the connection in place of the answer. */
    LOSE_ANSWERS,

    /** Writes an answer a second time, where the next one is expected. */
    REPEAT_ANSWERS,

    /** Sends bytes without an end after the head of the answer. */
    ENDLESS_ANSWERS,

    /** Closes the connection in the middle of an event or a body. */
    BREAK_OFF,

    /** Crashes on each prompt with a certain part, and is back a moment later as another upstream. */
    CRASH_ON_PART,

    /** Stops; another upstream starts at the same address at the end of the fault. */
    CRASH,

    /** Another upstream takes over the address at once, while the list still names the one before. */
    REPLACE,

    /** The list shows the upstream as leaving until the end of the fault, when another takes its address. */
    LEAVE,
}

/** The upstream list has entries that cannot be used. */
@Serializable
@SerialName("list")
internal data class DisturbList(val entry: OddEntry) : Fault

@Serializable
internal enum class OddEntry { NESTED, OUT_OF_RANGE, GARBLED }
