/**
 * Command line of `ibismoor-scenario`.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.scenario.api.ReplayResult
import org.ibismoor.scenario.api.Scenario
import org.ibismoor.scenario.api.ScenarioResult
import org.ibismoor.scenario.api.randomScenario
import org.ibismoor.scenario.api.rehearsals
import org.ibismoor.scenario.api.replayTrace
import org.ibismoor.scenario.api.runScenario
import org.ibismoor.scenario.api.scheduleOf
import org.ibismoor.scenario.api.searchSchedules
import org.ibismoor.scenario.api.writeTrace
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.io.File

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
        println("${result.seeds} seeds, ${result.failures.size} failed")
        println("${result.answered} of ${result.calls} calls answered")
        return if (result.failures.isEmpty()) ExitCode.SUCCESS else ExitCode.FINDINGS
    }

    @Command(name = "record", description = ["Runs the random schedule of a seed and prints its trace."])
    fun record(@Option(names = ["--seed"], required = true) seed: Long): Int {
        val scenario = randomScenario(seed)
        val result = runScenario(scenario)
        writeTrace(scenario, result).forEach(::println)
        return exitCode(result)
    }

    @Command(name = "replay", description = ["Runs the scenario of a trace again and compares every line."])
    fun replay(@Parameters(paramLabel = "FILE") file: File): Int {
        if (!file.isFile) return usage("there is no file $file")
        return when (val result = replayTrace(file.readLines())) {
            is ReplayResult.Same -> ExitCode.SUCCESS.also { println("the same ${result.lines} lines") }
            is ReplayResult.Unreadable -> usage("$file: ${result.reason}")
            is ReplayResult.Different -> ExitCode.FINDINGS.also {
                println("line ${result.line} differs\nrecorded: ${result.recorded}\nreplayed: ${result.replayed}")
            }
        }
    }

    @Command(name = "rehearse", description = ["Runs a named scenario and says what failed and what callers saw."])
    fun rehearse(
        @Parameters(paramLabel = "NAME") name: String,
        @Option(names = ["--trace"], description = ["File for the trace."]) trace: File?,
    ): Int {
        val scenario = rehearsals[name] ?: return usage("no rehearsal $name; there are ${rehearsals.keys}")
        val result = runScenario(scenario)
        trace?.writeText(writeTrace(scenario, result).joinToString("\n", postfix = "\n"))
        rehearsalText(scenario, result).forEach(::println)
        return exitCode(result)
    }

    private fun printFailure(seed: Long, violations: List<String>) {
        println("seed $seed broke a guarantee:")
        violations.forEach { println("  $it") }
        scheduleOf(randomScenario(seed)).forEach { println("    $it") }
    }

    private fun exitCode(result: ScenarioResult): Int =
        if (result.violations.isEmpty()) ExitCode.SUCCESS else ExitCode.FINDINGS

    private fun usage(text: String): Int = ExitCode.USAGE.also { System.err.println(text) }
}

/** What failed in a rehearsal and what callers saw. */
internal fun rehearsalText(scenario: Scenario, result: ScenarioResult): List<String> {
    val refusals = result.unanswered.mapNotNull { it.refusals.lastOrNull() }.groupingBy { it.code }.eachCount()
    val retried = result.answered.count { it.refusals.isNotEmpty() }
    val spent = result.budgets.map { (id, budget) -> "Budget $id: ${budget.billed} of ${budget.granted} tokens spent." }
    return listOf("Rehearsal ${scenario.name}") + scheduleOf(scenario).map { "  $it" } +
        "${result.answered.size} of ${result.calls.size} calls got their whole answer, $retried after a refusal." +
        "Calls without an answer, by their last refusal: ${refusals.ifEmpty { "none" }}." +
        spent +
        result.violations.map { "BROKEN GUARANTEE: $it" }.ifEmpty { listOf("Every checked guarantee held.") }
}
