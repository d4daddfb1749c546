/**
 * Program `ibismoor-publish`. Exit codes:
 * 0 when the set is accepted, 2 for wrong settings, 3 for findings or a conflict,
 * 4 when the fleet does not answer in time.
 */
package org.ibismoor.operator.api

import org.ibismoor.operator.internal.PublishCommand
import org.ibismoor.runtime.api.runProgram
import kotlin.system.exitProcess

object PublishMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        exitProcess(runProgram(PublishCommand(), arguments))
    }
}
