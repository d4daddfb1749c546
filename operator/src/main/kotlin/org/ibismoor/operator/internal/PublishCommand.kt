/**
 * Command line of `ibismoor-publish`.
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
import org.ibismoor.operator.api.Decided
import org.ibismoor.operator.api.Publisher
import org.ibismoor.operator.api.Undecided
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.runtime.api.SettingTypes
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

private const val PAUSE_MILLIS = 500L
private const val MAXIMUM_WAIT_SECONDS = 3_600L

@Command(
    name = "ibismoor-publish",
    description = ["Checks the declaration files below folders and publishes them as one set."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class PublishCommand : Callable<Int> {
    @Option(names = ["--number"], description = ["Number of the publication; greater than the one in force."])
    private var number: String? = null

    @Option(names = ["--control"], description = ["Base URLs of control processes, divided by commas."])
    private var control: String? = null

    @Option(names = ["--wait-seconds"], description = ["Wait this long until every live router has the number."])
    private var waitSeconds: String? = null

    @Option(names = ["--check-only"], description = ["true to check the files without publishing."])
    private var checkOnly: String? = null

    @Parameters(paramLabel = "folder", arity = "1..*", description = ["Folders that hold *.yaml files."])
    private var folders: List<Path> = emptyList()

    @Unmatched
    private var unknown: List<String> = ArrayList()

    override fun call(): Int {
        val wanted = requiredSetting("--number", number, SettingTypes.wholeNumber(1L..Long.MAX_VALUE))
        val urls = requiredSetting("--control", control, SettingTypes.listOf(SettingTypes.baseUrl))
        val wait = optionalSetting("--wait-seconds", waitSeconds, SettingTypes.wholeNumber(0L..MAXIMUM_WAIT_SECONDS))
        val isCheck = optionalSetting("--check-only", checkOnly, SettingTypes.flag)
        val isCheckOnly = isCheck.valueOrNull == true
        val always = settingFindings(isCheck) + unknownFindings(unknown)
        val findings = always + if (isCheckOnly) emptyList() else settingFindings(wanted, urls, wait)
        return when {
            findings.isNotEmpty() -> reportFindings(findings)
            isCheckOnly -> withSources { _ -> ExitCode.SUCCESS }
            else -> withSources { publish(urls.value, Publication(wanted.value, it), wait.valueOrNull) }
        }
    }

    private fun withSources(use: (List<DeclarationSource>) -> Int): Int {
        val files = collectFiles(folders)
        val result = readDeclarations(files.sources)
        val findings = files.findings + (result as? RejectedDeclarations)?.findings.orEmpty()
        if (result is AcceptedDeclarations && findings.isEmpty()) {
            println("checked ${files.sources.size} files, digest ${result.digest}")
        }
        return if (findings.isEmpty()) use(files.sources) else refuse(findings)
    }

    private fun refuse(findings: List<Finding>): Int = reportFindings(findings, ExitCode.FINDINGS)

    private fun publish(controls: List<String>, publication: Publication, wait: Long?): Int =
        HttpControlPort().use { port ->
            val publisher = Publisher(port) { TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS) }
            when (val outcome = publisher.publish(controls, publication)) {
                is Undecided -> unavailable(outcome.problem)
                is Decided -> report(outcome.answer, wait?.let { InForceWait(port, controls, it) })
            }
        }

    private fun report(answer: PublicationAnswer, wait: InForceWait?): Int =
        when (answer) {
            is PublicationAccepted -> accepted(answer, wait)
            is PublicationRejected -> refuse(answer.findings)
            is PublicationConflicting -> conflict(answer)
            else -> unavailable("the answer is not final")
        }

    private fun accepted(answer: PublicationAccepted, wait: InForceWait?): Int {
        println("accepted: number ${answer.number}, digest ${answer.digest}")
        val isInForce = wait?.until(answer.number)
        if (isInForce == true) println("in force: number ${answer.number}")
        return if (isInForce == false) unavailable("not in force at every router in time") else ExitCode.SUCCESS
    }

    private fun conflict(answer: PublicationConflicting): Int {
        System.err.println("conflict: ${answer.problem}; number ${answer.winner} has digest ${answer.winnerDigest}")
        return ExitCode.FINDINGS
    }

    private fun unavailable(problem: String): Int {
        System.err.println("unavailable: $problem; publishing the same files under the same number again is safe")
        return ExitCode.UNAVAILABLE
    }
}
