/**
 * Program `ibismoor-standin`: stand-ins for a model engine, a booking service and the platform's list of VMs. Each
 * runs until it is terminated. Exit code 2 means an invalid command line.
 */
package org.ibismoor.standin.api

import org.ibismoor.standin.internal.StandInCommand
import picocli.CommandLine
import kotlin.system.exitProcess

object StandInMain {
    @JvmStatic
    @Suppress("SpreadOperator")
    fun main(arguments: Array<String>) {
        exitProcess(CommandLine(StandInCommand()).execute(*arguments))
    }
}
