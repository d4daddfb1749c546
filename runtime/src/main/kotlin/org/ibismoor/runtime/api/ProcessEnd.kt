/**
 * Termination of a server process. On SIGTERM it drains and exits with the code that the drain returns instead of the
 * code of the signal. After a failure it halts at once, because nothing may be written or answered any more.
 */
package org.ibismoor.runtime.api

import kotlin.concurrent.thread

object ProcessEnd {
    /** Registers [drain] to run when the process is asked to terminate; its result is the exit code. */
    fun onTermination(drain: () -> Int) {
        Runtime.getRuntime().addShutdownHook(
            thread(start = false, name = "drain") { Runtime.getRuntime().halt(drain()) },
        )
    }

    /** Halts the process at once, without draining. */
    fun failNow(exitCode: Int): Nothing {
        Runtime.getRuntime().halt(exitCode)
        error("the process was not halted")
    }
}
