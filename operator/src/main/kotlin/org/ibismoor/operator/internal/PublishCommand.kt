/**
 * Command line of `ibismoor-publish`: checks declaration files, publishes them, and can wait until they are in force.
 */
package org.ibismoor.operator.internal

import org.ibismoor.core.api.Finding
import org.ibismoor.declarations.api.AcceptedDeclarations
import org.ibismoor.declarations.api.DeclarationSource
import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAccepted
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.declarations.api.PublicationConflicting
import org.ibismoor.declarations.api.PublicationRejected
import org.ibismoor.declarations.api.RejectedDeclarations
import org.ibismoor.declarations.api.readDeclarations
import org.ibismoor.operator.api.ControlPort
import org.ibismoor.operator.api.DecidedPublication
import org.ibismoor.operator.api.Publisher
import org.ibismoor.operator.api.UndecidedPublication
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.createClock
import org.ibismoor.runtime.api.optionalSetting
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.settingFindings
import org.ibismoor.runtime.api.unknownFindings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Unmatched
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit

private const val RETRY_PAUSE_MILLIS = 500L
private const val POLL_INTERVAL_MILLIS = 250L
private const val MAXIMUM_WAIT_SECONDS = 3_600L

@Command(
    name = "ibismoor-publish",
    description = ["Checks the declaration files in folders and their subfolders and publishes them as one set."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class PublishCommand : Callable<Int> {
    @Option(names = ["--number"], description = ["Number of the publication; greater than the one in force."])
    private var number: String? = null

    @Option(names = ["--control"], description = ["Base URLs of control processes, separated by commas."])
    private var control: String? = null

    @Option(names = ["--wait-seconds"], description = ["Seconds to wait until all live routers have the number."])
    private var waitSeconds: String? = null

    @Option(names = ["--check-only"], description = ["true to check the files without publishing."])
    private var checkOnly: String? = null

    @Parameters(paramLabel = "folder", arity = "1..*", description = ["Folders that contain *.yaml files."])
    private var folders: List<Path> = emptyList()

    @Unmatched
    private var unknown: List<String> = ArrayList()

    override fun call(): Int {
        val numberSetting = requiredSetting("--number", number, SettingTypes.wholeNumber(1L..Long.MAX_VALUE))
        val urlsSetting = requiredSetting("--control", control, SettingTypes.listOf(SettingTypes.baseUrl))
        val waitSetting =
            optionalSetting("--wait-seconds", waitSeconds, SettingTypes.wholeNumber(0L..MAXIMUM_WAIT_SECONDS))
        val checkOnlySetting = optionalSetting("--check-only", checkOnly, SettingTypes.boolean)
        val isCheckOnly = checkOnlySetting.valueOrNull == true
        val commonFindings = settingFindings(checkOnlySetting) + unknownFindings(unknown)
        val findings =
            commonFindings + if (isCheckOnly) emptyList() else settingFindings(numberSetting, urlsSetting, waitSetting)
        return when {
            findings.isNotEmpty() -> reportFindings(findings)
            isCheckOnly -> checkSources { _ -> ExitCode.SUCCESS }
            else -> checkSources {
                publish(urlsSetting.value, Publication(numberSetting.value, it), waitSetting.valueOrNull)
            }
        }
    }

    private fun checkSources(onValid: (List<DeclarationSource>) -> Int): Int {
        val files = collectFiles(folders)
        val result = readDeclarations(files.sources)
        val findings = files.findings + (result as? RejectedDeclarations)?.findings.orEmpty()
        if (result is AcceptedDeclarations && findings.isEmpty()) {
            println("checked ${files.sources.size} files, digest ${result.digest}")
        }
        return if (findings.isEmpty()) onValid(files.sources) else reportRejection(findings)
    }

    private fun reportRejection(findings: List<Finding>): Int = reportFindings(findings, ExitCode.FINDINGS)

    private fun publish(controlUrls: List<String>, publication: Publication, maximumWaitSeconds: Long?): Int =
        HttpControlPort().use { port ->
            val publisher = Publisher(port) { TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLIS) }
            when (val outcome = publisher.publish(controlUrls, publication)) {
                is UndecidedPublication -> reportUnavailable(outcome.problem)
                is DecidedPublication ->
                    reportAnswer(outcome.answer, maximumWaitSeconds?.let { inForceWait(port, controlUrls, it) })
            }
        }

    private fun inForceWait(port: ControlPort, controlUrls: List<String>, maximumWaitSeconds: Long) =
        InForceWait(port, controlUrls, maximumWaitSeconds, createClock()) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS)
        }

    private fun reportAnswer(answer: PublicationAnswer, wait: InForceWait?): Int =
        when (answer) {
            is PublicationAccepted -> reportAccepted(answer, wait)
            is PublicationRejected -> reportRejection(answer.findings)
            is PublicationConflicting -> reportConflict(answer)
            else -> reportUnavailable("publication not decided; the last answer was ${answer::class.simpleName}")
        }

    private fun reportAccepted(answer: PublicationAccepted, wait: InForceWait?): Int {
        println("accepted: number ${answer.number}, digest ${answer.digest}")
        val isInForce = wait?.awaitInForce(answer.number)
        if (isInForce == true) println("in force: number ${answer.number}")
        return if (isInForce == false) {
            reportUnavailable("number ${answer.number} is not in force at every live router within --wait-seconds")
        } else {
            ExitCode.SUCCESS
        }
    }

    private fun reportConflict(answer: PublicationConflicting): Int {
        System.err.println("conflict: ${answer.problem}; number ${answer.winner} has digest ${answer.winnerDigest}")
        return ExitCode.FINDINGS
    }

    private fun reportUnavailable(problem: String): Int {
        System.err.println("unavailable: $problem; publishing the same files under the same number again is safe")
        return ExitCode.UNAVAILABLE
    }
}
