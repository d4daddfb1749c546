/**
 * Program `ibismoor-bench-capacity`. Exit codes: 0 when all slopes were measured, 2 for wrong usage.
 */
package org.ibismoor.bench.capacity.api

import org.ibismoor.bench.capacity.internal.CapacityCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object CapacityMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(CapacityCommand(), arguments))
    }
}
