/**
 * Program `ibismoor-try`. Exit codes:
 * 0 if both answers are complete, 2 for invalid settings, 3 if an answer is incomplete or an error, 4 if a router does
 * not answer.
 */
package org.ibismoor.operator.api

import org.ibismoor.operator.internal.TryCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object TryMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(TryCommand(), arguments))
    }
}
