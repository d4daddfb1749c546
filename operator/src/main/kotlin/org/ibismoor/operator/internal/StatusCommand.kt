/**
 * Command line of `ibismoor-status`.
 */
package org.ibismoor.operator.internal

import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.settingFindings
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.encodeJson
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.time.Instant
import java.util.concurrent.Callable

@Command(
    name = "ibismoor-status",
    description = ["Shows the state of the fleet as each control process knows it."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class StatusCommand : Callable<Int> {
    @Option(names = ["--control"], description = ["Base URLs of control processes, divided by commas."])
    private var control: String? = null

    @Option(names = ["--json"], description = ["Print one JSON document for each control process."])
    private var isJson: Boolean = false

    override fun call(): Int {
        val urls = requiredSetting("--control", control, SettingTypes.listOf(SettingTypes.baseUrl))
        val findings = settingFindings(urls)
        return if (findings.isEmpty()) show(urls.value) else reportFindings(findings)
    }

    private fun show(urls: List<String>): Int =
        HttpControlPort().use { port ->
            val answers = urls.associateWith(port::status)
            answers.forEach { (url, status) -> if (status == null) noAnswer(url) else print(status) }
            if (answers.values.any { it != null }) ExitCode.SUCCESS else ExitCode.UNAVAILABLE
        }

    private fun noAnswer(url: String) = System.err.println("$url does not answer")

    private fun print(status: ControlStatus) =
        println(if (isJson) encodeJson(ControlStatus.serializer(), status) else statusText(status))
}

/** The form for people. */
internal fun statusText(status: ControlStatus): String {
    val quorum = if (status.hasQuorum) "quorum" else "no quorum"
    val inForce = status.inForce?.let { "$it since ${Instant.ofEpochMilli(status.inForceAtMillis ?: 0)}" } ?: "none"
    return listOf(
        "${status.replica}: ${status.role}, $quorum, leader ${status.leader ?: "unknown"}, term ${status.term}",
        "  log: committed ${status.commitIndex}, snapshot ${status.snapshotIndex}",
        "  configuration: applied ${status.configuration}, in force $inForce",
    ).plus(status.members.map { "  member ${it.replica}${if (it.isVoter) "" else " (learner)"}" })
        .plus(status.routers.map { "  router ${it.id} in ${it.domain}: ${it.state}, ${it.inFlight} in flight" })
        .plus(status.upstreams.map { "  upstream ${it.upstream}: ${it.running} running, ${it.waiting} waiting" })
        .joinToString("\n")
}
