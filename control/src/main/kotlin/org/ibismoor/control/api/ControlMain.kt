/**
 * Main class of `ibismoor-control`. Exit codes: 0 after a drain, 2 for invalid settings, 5 for an unsafe data folder,
 * 70 for a failed write or an internal error.
 */
package org.ibismoor.control.api

import org.ibismoor.control.internal.ControlCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object ControlMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(ControlCommand(), arguments))
    }
}
