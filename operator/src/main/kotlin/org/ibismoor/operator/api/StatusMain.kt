/**
 * Program `ibismoor-status`. Exit codes: 0 when a control process answered, 2 for wrong settings, 4 when none answers.
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
