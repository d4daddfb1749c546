/**
 * Command line of `ibismoor-soak`. Exit codes: 0 for a clean verdict, 2 for wrong arguments, 3 for violations, 4 if the
 * fleet did not begin to serve or a resource is not available.
 */
package org.ibismoor.soak.internal

import kotlinx.serialization.SerializationException
import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.optionalSetting
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.settingFindings
import org.ibismoor.soak.api.SoakResult
import org.ibismoor.soak.api.Verdict
import org.ibismoor.soak.internal.process.ProcessCommands
import org.ibismoor.soak.internal.schedule.FaultSchedule
import org.ibismoor.soak.internal.schedule.createSchedule
import org.ibismoor.soak.internal.schedule.decodeSchedule
import org.ibismoor.soak.internal.schedule.encodeSchedule
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.TimeoutException

/** The repository, from which the programs run. */
private const val ROOT_PROPERTY = "ibismoor.root"
private const val MINIMUM_ROUTERS = 3L
private const val MAXIMUM_ROUTERS = 100L
private const val MINIMUM_SECONDS = 10L
private const val MAXIMUM_SECONDS = 3_600L
private const val MAXIMUM_CALLERS = 1_000L
private const val DEFAULT_CALLERS = "24"
private const val DEFAULT_ROUTERS = "5"
private const val DEFAULT_SECONDS = "60"

@Command(
    name = "ibismoor-soak",
    description = [
        "Runs a small fleet as processes on loopback, injects the faults of a seeded schedule " +
            "and checks the guarantees.",
    ],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = [
        "0:No guarantee was broken.",
        "2:An argument is wrong.",
        "3:A guarantee was broken.",
        "4:The fleet did not begin to serve, or an address or the folder cannot be used.",
    ],
)
internal class SoakCommand : Callable<Int> {
    @Option(names = ["--seed"], description = ["Seed of the schedule; default: 1"])
    var seed: String? = null

    @Option(names = ["--routers"], description = ["Routers, from 3 on, each on a VM of its own; default: 5"])
    var routers: String? = null

    @Option(names = ["--seconds"], description = ["Time for which callers send requests; default: 60"])
    var seconds: String? = null

    @Option(names = ["--callers"], description = ["Callers with a connection each; default: 24"])
    var callers: String? = null

    @Option(names = ["--schedule"], description = ["Schedule to replay, in place of --seed, --routers and --seconds"])
    var schedule: String? = null

    @Option(names = ["--folder"], description = ["New folder for the run's files; default: a temporary one"])
    var folder: String? = null

    override fun call(): Int {
        val seedSetting = optionalSetting("--seed", seed ?: "1", SettingTypes.wholeNumber(0..Long.MAX_VALUE))
        val routerRange = SettingTypes.wholeNumber(MINIMUM_ROUTERS..MAXIMUM_ROUTERS)
        val routerSetting = optionalSetting("--routers", routers ?: DEFAULT_ROUTERS, routerRange)
        val secondRange = SettingTypes.wholeNumber(MINIMUM_SECONDS..MAXIMUM_SECONDS)
        val secondSetting = optionalSetting("--seconds", seconds ?: DEFAULT_SECONDS, secondRange)
        val callerSetting =
            optionalSetting("--callers", callers ?: DEFAULT_CALLERS, SettingTypes.wholeNumber(1..MAXIMUM_CALLERS))
        val folderSetting = optionalSetting("--folder", folder, SettingTypes.folder)
        val scheduleSetting = optionalSetting("--schedule", schedule, SettingTypes.file)
        val findings = settingFindings(
            seedSetting, routerSetting, secondSetting, callerSetting, folderSetting, scheduleSetting,
        ) + fileFindings(folderSetting.valueOrNull, scheduleSetting.valueOrNull)
        if (findings.isNotEmpty()) return reportFindings(findings)
        return runWith(callerSetting.value.toInt(), folderSetting.valueOrNull) { network ->
            scheduleSetting.valueOrNull?.let(::readSchedule) ?: createSchedule(
                seedSetting.value,
                FleetLayout(network, routerSetting.value.toInt()),
                secondSetting.value.toInt(),
            )
        }
    }

    /** A folder that exists may hold the disks of another run. */
    private fun fileFindings(folder: Path?, schedule: Path?): List<Finding> =
        listOfNotNull(
            Finding(Place("--folder"), "$folder exists", "name a new folder")
                .takeIf { folder != null && Files.exists(folder) },
            Finding(Place("--schedule"), "$schedule is not a readable file", "name a saved schedule")
                .takeIf { schedule != null && !Files.isReadable(schedule) },
        )

    private fun runWith(callers: Int, folder: Path?, scheduleFor: (network: Int) -> FaultSchedule): Int =
        try {
            reserveNetwork().use { network ->
                val schedule = scheduleFor(network.number)
                val home = folder?.toAbsolutePath() ?: Files.createTempDirectory("ibismoor-soak")
                println(encodeSchedule(schedule))
                println("folder: $home")
                val layout = FleetLayout(network.number, schedule.routers)
                val commands = ProcessCommands(Path.of(System.getProperty(ROOT_PROPERTY, "")).toAbsolutePath())
                report(schedule, runSoak(SoakSettings(layout, schedule, callers, home, commands)))
            }
        } catch (e: SerializationException) {
            reportFindings(listOf(Finding(Place("--schedule"), e.message.orEmpty(), "name a saved schedule")))
        } catch (e: IOException) {
            reportFailure(e)
        } catch (e: TimeoutException) {
            reportFailure(e)
        }

    private fun readSchedule(file: Path): FaultSchedule = decodeSchedule(Files.readString(file))

    private fun report(schedule: FaultSchedule, result: SoakResult): Int {
        println("requests: ${result.requests}, complete answers by status: ${result.answers}")
        result.unexpectedEnds.forEach { println("ended by itself: ${it.process.text} with exit code ${it.exitCode}") }
        println(result.report)
        println("verdict: ${result.verdict}, seed ${schedule.seed}")
        return when (result.verdict) {
            Verdict.CLEAN -> ExitCode.SUCCESS
            Verdict.VIOLATED -> ExitCode.FINDINGS
            Verdict.NOT_SERVED -> ExitCode.UNAVAILABLE
        }
    }

    private fun reportFailure(cause: Exception): Int {
        System.err.println("cannot run the soak: ${cause.message}")
        return ExitCode.UNAVAILABLE
    }
}
