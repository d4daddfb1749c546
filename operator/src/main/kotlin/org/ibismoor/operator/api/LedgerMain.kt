/**
 * Program `ibismoor-ledger`. Exit codes: 0 when a control process answered, 2 for wrong settings, 4 when none answers.
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
