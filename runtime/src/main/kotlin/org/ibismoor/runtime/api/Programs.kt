/**
 * Runs the commands of programs: flags with their environment twins, help, version and exit codes. A command is an
 * object with picocli annotations whose options are texts, so that it can check all of them together.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.Finding
import org.ibismoor.runtime.internal.EnvironmentDefaults
import picocli.CommandLine

const val PROGRAM_VERSION: String = "0.1.0"

/** Runs [command] with [arguments] and returns its exit code. */
@Suppress("SpreadOperator") // picocli takes the arguments as varargs only
fun runProgram(
    command: Any,
    arguments: Array<String>,
    environment: Map<String, String> = System.getenv(),
): Int {
    val line = CommandLine(command).setDefaultValueProvider(EnvironmentDefaults(environment))
    line.subcommands.values.forEach { it.setDefaultValueProvider(EnvironmentDefaults(environment)) }
    line.setExecutionExceptionHandler { e, _, _ -> reportFailure(e) }
    return line.execute(*arguments)
}

/** Prints [findings], one a line, and returns [exitCode]. */
fun reportFindings(findings: List<Finding>, exitCode: Int = ExitCode.USAGE): Int {
    findings.forEach { System.err.println(it) }
    return exitCode
}

private fun reportFailure(e: Exception): Int {
    System.err.println("internal error: ${e.stackTraceToString()}")
    return ExitCode.INTERNAL_ERROR
}
