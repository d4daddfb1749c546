/**
 * Command line of `ibismoor-bench-load`: sends streamed chat completions at a given rate through routers and, in the
 * same run, directly to the engines behind them, and prints the latency that the routers add.
 */
package org.ibismoor.bench.load.internal

import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.runtime.api.Setting
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.settingFindings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable

private const val MILLIS_PER_SECOND = 1_000L
private const val MAX_RATE = 10_000L
private const val MAX_ANSWER_TOKENS = 100_000L
private const val MAX_SECONDS = 3_600L

@Command(
    name = "ibismoor-bench-load",
    description = ["Measures what routers add to streamed chat completions."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class LoadCommand : Callable<Int> {
    @Option(names = ["--router"], description = ["Base URLs of routers, divided by commas."])
    private var routers: String? = null

    @Option(names = ["--direct"], description = ["Base URLs of the engines behind them, divided by commas."])
    private var engines: String? = null

    @Option(names = ["--key"], description = ["API key; better given as IBISMOOR_KEY."])
    private var key: String? = null

    @Option(names = ["--model"], description = ["Model to ask."])
    private var model: String? = null

    @Option(names = ["--rate"], description = ["Requests a second through routers."], defaultValue = "50")
    private var rate: String? = null

    @Option(names = ["--direct-rate"], description = ["Requests a second to engines."], defaultValue = "5")
    private var directRate: String? = null

    @Option(names = ["--answer-tokens"], description = ["Bound of an answer in tokens."], defaultValue = "440")
    private var answerTokens: String? = null

    @Option(names = ["--warm-up-seconds"], description = ["Time before the measure."], defaultValue = "10")
    private var warmUp: String? = null

    @Option(names = ["--seconds"], description = ["Time of the measure."], defaultValue = "20")
    private var seconds: String? = null

    @Option(names = ["--process"], description = ["Process to watch, as name=number; repeated."])
    private var processes: List<String> = emptyList()

    override fun call(): Int {
        val urls = SettingTypes.listOf(SettingTypes.baseUrl)
        val routerUrls = requiredSetting("--router", routers, urls)
        val engineUrls = requiredSetting("--direct", engines, urls)
        val apiKey = requiredSetting("--key", key, SettingTypes.text)
        val modelName = requiredSetting("--model", model, SettingTypes.name)
        val numbers = listOf(
            requiredNumber("--rate", rate, 1..MAX_RATE),
            requiredNumber("--direct-rate", directRate, 0..MAX_RATE),
            requiredNumber("--answer-tokens", answerTokens, 1..MAX_ANSWER_TOKENS),
            requiredNumber("--warm-up-seconds", warmUp, 0..MAX_SECONDS),
            requiredNumber("--seconds", seconds, 1..MAX_SECONDS),
        )
        val findings = settingFindings(routerUrls, engineUrls, apiKey, modelName) +
            numbers.flatMap { settingFindings(it) }
        if (findings.isNotEmpty()) return reportFindings(findings)
        val values = numbers.map { it.value }.iterator()
        val plans = mapOf(
            LoadPath.ROUTED to PathPlan(routerUrls.value, apiKey.value, values.next()),
            LoadPath.DIRECT to PathPlan(engineUrls.value, null, values.next()),
        )
        return runLoad(
            LoadSettings(
                plans = plans,
                model = modelName.value,
                answerTokens = values.next(),
                warmUpMillis = values.next() * MILLIS_PER_SECOND,
                measuredMillis = values.next() * MILLIS_PER_SECOND,
                processes = watchedProcesses(),
            ),
        )
    }

    private fun requiredNumber(flag: String, text: String?, range: LongRange): Setting<Long> =
        requiredSetting(flag, text, SettingTypes.wholeNumber(range))

    /** An option value that is not name=number is skipped; the report has no line for it. */
    private fun watchedProcesses(): Map<String, Long> =
        processes.mapNotNull { text ->
            text.substringAfter('=').toLongOrNull()?.let { text.substringBefore('=') to it }
        }.toMap()

    private fun runLoad(settings: LoadSettings): Int {
        val result = LoadRun(settings).awaitResult()
        result.lines().forEach(::println)
        return if (result.isAnswered) ExitCode.SUCCESS else ExitCode.UNAVAILABLE
    }
}
