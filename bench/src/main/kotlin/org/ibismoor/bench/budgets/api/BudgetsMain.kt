/**
 * Program `ibismoor-bench-budgets`: replays demand on one set of budgets over the decision code of the ledger, with
 * partitions of several lengths, and prints overspend, false refusals and stranded tokens. Exit codes: 0 when no run
 * overspent, 2 for wrong settings, 3 for an overspend.
 */
package org.ibismoor.bench.budgets.api

import org.ibismoor.bench.budgets.internal.BudgetsCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object BudgetsMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(BudgetsCommand(), arguments))
    }
}
