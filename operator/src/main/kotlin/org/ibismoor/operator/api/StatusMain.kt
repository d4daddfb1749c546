/**
 * Program `ibismoor-status`. Exit codes: 0 if a control process answered, 2 for invalid settings, 4 if none answered.
 */
package org.ibismoor.operator.api

import org.ibismoor.operator.internal.StatusCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object StatusMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(StatusCommand(), arguments))
    }
}
