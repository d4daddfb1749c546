/**
 * Entry point of the program `ibismoor-soak`.
 */
package org.ibismoor.soak.api

import org.ibismoor.runtime.api.runProgram
import org.ibismoor.soak.internal.SoakCommand
import kotlin.system.exitProcess

object SoakMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(SoakCommand(), arguments))
    }
}
