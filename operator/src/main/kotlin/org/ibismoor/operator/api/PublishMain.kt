/**
 * Program `ibismoor-publish`. Exit codes:
 * 0 if the set is accepted, 2 for invalid settings, 3 for findings or a conflict,
 * 4 if it is not decided, or not in force, in time.
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
