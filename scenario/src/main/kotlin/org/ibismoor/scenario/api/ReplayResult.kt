/**
 * Whether a replay of a trace got the same lines. Line numbers are counted from 1.
 */
package org.ibismoor.scenario.api

sealed interface ReplayResult {
    data class Same(val lines: Int) : ReplayResult

    /** The first difference; a line is null where one of the traces has ended. */
    data class Different(val line: Int, val recorded: String?, val replayed: String?) : ReplayResult

    data class Unreadable(val reason: String) : ReplayResult
}
