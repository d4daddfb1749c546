/**
 * Main class of `ibismoor-scenario`. Exit codes: 0 if every guarantee held or the replay matches, 2 for wrong
 * arguments, 3 for a broken guarantee or a replay that differs.
 */
package org.ibismoor.scenario.api

import org.ibismoor.runtime.api.runProgram
import org.ibismoor.scenario.internal.ScenarioCommand
import kotlin.system.exitProcess

object ScenarioMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(ScenarioCommand(), arguments))
    }
}
