/**
 * Program `ibismoor-router`. It runs until it is told to end by SIGTERM, or until its VM is listed as leaving, and
 * drains first. Exit codes: 0 after a drain, 2 for bad settings, 70 for an internal error.
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
