/**
 * Termination of a server process. On SIGTERM it drains and exits with the code that the drain returns instead of the
 * code of the signal. After a failure it halts at once, because nothing may be written or answered any more; after one
 * that leaves its state whole it drains first.
 */
package org.ibismoor.runtime.api

import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.system.exitProcess

object ProcessEnd {
    private val failure = AtomicReference<Throwable>()

    /** Registers [drain] to run when the process is asked to terminate; its result is the exit code. */
    fun onTermination(drain: () -> Int) {
        Runtime.getRuntime().addShutdownHook(
            thread(start = false, name = "drain") {
                val code = drain()
                Runtime.getRuntime().halt(if (failure.get() == null) code else ExitCode.INTERNAL_ERROR)
            },
        )
    }

    /**
     * Writes [cause] to standard error and ends the process as a request to terminate would, with
     * [ExitCode.INTERNAL_ERROR]. Calls after the first one do nothing. Returns at once.
     */
    fun drainAfter(cause: Throwable) {
        if (!failure.compareAndSet(null, cause)) return
        thread(name = "restart") {
            System.err.println("the process drains and ends after $cause")
            exitProcess(ExitCode.INTERNAL_ERROR)
        }
    }

    /** Halts the process at once, without draining. */
    fun failNow(exitCode: Int): Nothing {
        Runtime.getRuntime().halt(exitCode)
        error("the process was not halted")
    }
}
