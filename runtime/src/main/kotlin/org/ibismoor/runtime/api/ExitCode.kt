/**
 * Exit codes of all programs.
 */
package org.ibismoor.runtime.api

object ExitCode {
    const val SUCCESS: Int = 0

    /** A setting or the usage is wrong. */
    const val USAGE: Int = 2

    /** The input has findings, or it conflicts with what is in force. */
    const val FINDINGS: Int = 3

    /** The fleet cannot be reached, or does not answer in time. */
    const val UNAVAILABLE: Int = 4

    /** The data folder must not be used. */
    const val UNSAFE_DATA_FOLDER: Int = 5

    /** A fault of the program, or a failed write or sync. */
    const val INTERNAL_ERROR: Int = 70
}
