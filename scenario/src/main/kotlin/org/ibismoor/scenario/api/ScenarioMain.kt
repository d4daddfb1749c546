/**
 * Program `ibismoor-scenario`. Exit codes: 0 when every guarantee held or a replay got the same lines, 2 for wrong
 * settings, 3 for a broken guarantee or a different replay.
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
