/**
 * Program `ibismoor-bench-load`. Exit codes: 0 when the run completed, 2 for wrong settings, 4 when no measured request
 * was answered.
 */
package org.ibismoor.bench.load.api

import org.ibismoor.bench.load.internal.LoadCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object LoadMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(LoadCommand(), arguments))
    }
}
