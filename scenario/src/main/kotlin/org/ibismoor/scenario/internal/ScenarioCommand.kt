/**
 * The command line of `ibismoor-scenario`.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.scenario.api.ReplayResult
import org.ibismoor.scenario.api.Scenario
import org.ibismoor.scenario.api.ScenarioResult
import org.ibismoor.scenario.api.describeSchedule
import org.ibismoor.scenario.api.encodeTrace
import org.ibismoor.scenario.api.randomScenario
import org.ibismoor.scenario.api.rehearsals
import org.ibismoor.scenario.api.replayTrace
import org.ibismoor.scenario.api.runScenario
import org.ibismoor.scenario.api.searchSchedules
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.io.File

/** Stands in the report for callers that reached no router or had no answer in time. */
private const val NO_REFUSAL = "no refusal"

@Command(
    name = "ibismoor-scenario",
    description = ["Runs failure scenarios under virtual time."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class ScenarioCommand {
    @Command(name = "search", description = ["Runs random schedules and prints those that break a guarantee."])
    fun search(
        @Option(names = ["--from-seed"], required = true) fromSeed: Long,
        @Option(names = ["--count"], required = true) count: Int,
    ): Int {
        val result = searchSchedules(fromSeed, count)
        result.failures.forEach { (seed, violations) -> printFailure(seed, violations) }
        println("${result.seedCount} seeds, ${result.failures.size} failed")
        println("${result.answeredCount} of ${result.callCount} calls answered")
        return if (result.failures.isEmpty()) ExitCode.SUCCESS else ExitCode.FINDINGS
    }

    @Command(name = "record", description = ["Runs the random schedule of a seed and prints its trace."])
    fun record(@Option(names = ["--seed"], required = true) seed: Long): Int {
        val scenario = randomScenario(seed)
        val result = runScenario(scenario)
        encodeTrace(scenario, result).forEach(::println)
        return exitCode(result)
    }

    @Command(name = "replay", description = ["Reruns the scenario of a trace and compares every line."])
    fun replay(@Parameters(paramLabel = "FILE") file: File): Int {
        if (!file.isFile) return reportUsageError("trace file $file not found or not a regular file")
        return when (val result = replayTrace(file.readLines())) {
            is ReplayResult.Same -> ExitCode.SUCCESS.also { println("replay matches all ${result.lines} lines") }
            is ReplayResult.Unreadable -> reportUsageError("$file: ${result.reason}")
            is ReplayResult.Different -> ExitCode.FINDINGS.also {
                println("line ${result.line} differs\nrecorded: ${result.recorded}\nreplayed: ${result.replayed}")
            }
        }
    }

    @Command(name = "rehearse", description = ["Runs a named scenario and reports its faults and outcome for callers."])
    fun rehearse(
        @Parameters(paramLabel = "NAME") name: String,
        @Option(names = ["--trace"], description = ["File for the trace."]) trace: File?,
    ): Int {
        val scenario = rehearsals[name]
            ?: return reportUsageError("unknown rehearsal $name; choose one of ${rehearsals.keys}")
        val result = runScenario(scenario)
        trace?.writeText(encodeTrace(scenario, result).joinToString("\n", postfix = "\n"))
        rehearsalReport(scenario, result).forEach(::println)
        return exitCode(result)
    }

    private fun printFailure(seed: Long, violations: List<String>) {
        println("seed $seed broke a guarantee:")
        violations.forEach { println("  $it") }
        describeSchedule(randomScenario(seed)).forEach { println("    $it") }
    }

    private fun exitCode(result: ScenarioResult): Int =
        if (result.violations.isEmpty()) ExitCode.SUCCESS else ExitCode.FINDINGS

    private fun reportUsageError(text: String): Int = ExitCode.USAGE.also { System.err.println(text) }
}

/** Lines that report the faults of a rehearsal, the outcome for callers and the broken guarantees. */
internal fun rehearsalReport(scenario: Scenario, result: ScenarioResult): List<String> {
    val refusals = result.unansweredCalls.groupingBy { it.refusals.lastOrNull()?.code ?: NO_REFUSAL }.eachCount()
    val retried = result.answeredCalls.count { it.refusals.isNotEmpty() }
    val spent = result.budgets.map { (id, budget) -> "Budget $id: ${budget.billed} of ${budget.granted} tokens spent." }
    return listOf("Rehearsal ${scenario.name}") + describeSchedule(scenario).map { "  $it" } +
        "${result.answeredCalls.size} of ${result.calls.size} calls answered completely, $retried after a refusal." +
        "Calls without an answer, by their last refusal: ${refusals.ifEmpty { "none" }}." +
        spent +
        result.violations.map { "BROKEN GUARANTEE: $it" }.ifEmpty { listOf("Every checked guarantee held.") }
}
