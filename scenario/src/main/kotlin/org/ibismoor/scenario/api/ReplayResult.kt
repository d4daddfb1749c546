/**
 * The result of comparing a recorded trace with its replay. Line numbers start at 1.
 */
package org.ibismoor.scenario.api

sealed interface ReplayResult {
    data class Same(val lines: Int) : ReplayResult

    /** The first line that differs. A text is null if that trace ends before this line. */
    data class Different(val line: Int, val recorded: String?, val replayed: String?) : ReplayResult

    data class Unreadable(val reason: String) : ReplayResult
}
