/**
 * Program `ibismoor-bench-replay`. Exit codes: 0 when every expected outcome was met, 2 for wrong settings, 3 when one
 * was missed or a trace has findings.
 */
package org.ibismoor.bench.replay.api

import org.ibismoor.bench.replay.internal.ReplayCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object ReplayMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(ReplayCommand(), arguments))
    }
}
