/**
 * How a server process ends. On SIGTERM it drains and exits with the code that the drain returns, instead of the
 * code of the signal. After a failure it ends at once, since nothing may be written or answered any more.
 */
package org.ibismoor.runtime.api

import kotlin.concurrent.thread

object ProcessEnd {
    /** Runs [drain] when the process is told to end, and exits with the code that it returns. */
    fun onTermination(drain: () -> Int) {
        Runtime.getRuntime().addShutdownHook(
            thread(start = false, name = "drain") { Runtime.getRuntime().halt(drain()) },
        )
    }

    /** Ends the process at once, without a drain. */
    fun failNow(exitCode: Int): Nothing {
        Runtime.getRuntime().halt(exitCode)
        error("the process has ended")
    }
}
