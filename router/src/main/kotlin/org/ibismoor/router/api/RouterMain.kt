/**
 * Program `ibismoor-router`. It drains and exits on SIGTERM or when its VM is listed as leaving. Exit codes: 0 after a
 * drain, 2 for invalid settings, 70 for an internal error.
 */
package org.ibismoor.router.api

import org.ibismoor.router.internal.RouterCommand
import picocli.CommandLine
import kotlin.system.exitProcess

object RouterMain {
    @JvmStatic
    @Suppress("SpreadOperator")
    fun main(arguments: Array<String>) {
        exitProcess(CommandLine(RouterCommand()).execute(*arguments))
    }
}
