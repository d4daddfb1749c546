/**
 * Runs the commands of programs: flags and their environment variables, help, version and exit codes. A command is an
 * object with picocli annotations. Its options are strings, so that it can check all of them and report every problem.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.Finding
import org.ibismoor.runtime.internal.EnvironmentDefaults
import picocli.CommandLine

const val PROGRAM_VERSION: String = "0.1.0"

/** Runs [command] with [arguments] and returns its exit code. */
@Suppress("SpreadOperator") // picocli accepts arguments only as varargs
fun runProgram(
    command: Any,
    arguments: Array<String>,
    environment: Map<String, String> = System.getenv(),
): Int {
    val commandLine = CommandLine(command).setDefaultValueProvider(EnvironmentDefaults(environment))
    commandLine.subcommands.values.forEach { it.setDefaultValueProvider(EnvironmentDefaults(environment)) }
    commandLine.setExecutionExceptionHandler { e, _, _ -> reportFailure(e) }
    return commandLine.execute(*arguments)
}

/** Prints [findings] to standard error, one per line, and returns [exitCode]. */
fun reportFindings(findings: List<Finding>, exitCode: Int = ExitCode.USAGE): Int {
    findings.forEach { System.err.println(it) }
    return exitCode
}

private fun reportFailure(e: Exception): Int {
    System.err.println("internal error: ${e.stackTraceToString()}")
    return ExitCode.INTERNAL_ERROR
}
