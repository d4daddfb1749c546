/**
 * Program `ibismoor-ledger`. Exit codes: 0 if a control process answered, 2 for invalid settings, 4 if none answered.
 */
package org.ibismoor.operator.api

import org.ibismoor.operator.internal.LedgerCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object LedgerMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(LedgerCommand(), arguments))
    }
}
