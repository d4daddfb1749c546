/**
 * Exit codes shared by all programs.
 */
package org.ibismoor.runtime.api

object ExitCode {
    const val SUCCESS: Int = 0

    /** A setting or the command line is invalid. */
    const val USAGE: Int = 2

    /** The input has findings or conflicts with what is in force. */
    const val FINDINGS: Int = 3

    /** The fleet is unreachable or did not answer in time. */
    const val UNAVAILABLE: Int = 4

    /** The data folder is not safe to use. */
    const val UNSAFE_DATA_FOLDER: Int = 5

    /** An internal error, or a failed write or sync. */
    const val INTERNAL_ERROR: Int = 70
}
