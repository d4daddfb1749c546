/**
 * Program `ibismoor-try`. Exit codes:
 * 0 when both answers are whole, 2 for wrong settings, 3 when a request is refused, 4 when the router does not answer.
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
