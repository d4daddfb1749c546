/**
 * Captures what a program prints to standard error. The stream is replaced for the whole process, so tests that use it
 * must not run in parallel.
 */
package org.ibismoor.testing

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** What a run returned, and what it printed to standard error. */
data class CapturedRun<T>(val result: T, val errors: String)

fun <T> captureStandardError(run: () -> T): CapturedRun<T> {
    val errors = ByteArrayOutputStream()
    val before = System.err
    System.setErr(PrintStream(errors, true))
    return try {
        CapturedRun(run(), errors.toString())
    } finally {
        System.setErr(before)
    }
}
