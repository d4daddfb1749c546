/**
 * Command line of `ibismoor-status`: prints the fleet state that each control process reports.
 */
package org.ibismoor.operator.internal

import org.ibismoor.consensus.api.ConsensusMember
import org.ibismoor.membership.api.RouterRow
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.settingFindings
import org.ibismoor.runtime.api.unknownFindings
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.encodeJson
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Unmatched
import java.time.Instant
import java.util.concurrent.Callable

@Command(
    name = "ibismoor-status",
    description = ["Shows the state of the fleet as reported by each control process."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class StatusCommand : Callable<Int> {
    @Option(names = ["--control"], description = ["Base URLs of control processes, separated by commas."])
    private var control: String? = null

    @Option(names = ["--json"], description = ["Print one JSON document for each control process."])
    private var isJson: Boolean = false

    @Unmatched
    private var unknown: List<String> = ArrayList()

    override fun call(): Int {
        val urls = requiredSetting("--control", control, SettingTypes.listOf(SettingTypes.baseUrl))
        val findings = settingFindings(urls) + unknownFindings(unknown)
        return if (findings.isEmpty()) printStatuses(urls.value) else reportFindings(findings)
    }

    private fun printStatuses(urls: List<String>): Int =
        HttpControlPort().use { port ->
            val answers = urls.associateWith(port::status)
            answers.forEach { (url, status) -> if (status == null) reportNoAnswer(url) else printStatus(status) }
            if (answers.values.any { it != null }) ExitCode.SUCCESS else ExitCode.UNAVAILABLE
        }

    private fun printStatus(status: ControlStatus) =
        println(if (isJson) encodeJson(ControlStatus.serializer(), status) else statusText(status))
}

/** Human-readable form. */
internal fun statusText(status: ControlStatus): String {
    val quorum = if (status.hasQuorum) "quorum" else "no quorum"
    val inForce = status.inForce?.let { "$it since ${Instant.ofEpochMilli(status.inForceAtMillis ?: 0)}" } ?: "none"
    return listOf(
        "${status.replica}: ${status.role}, $quorum, leader ${status.leader ?: "unknown"}, term ${status.term}",
        "  log: committed ${status.commitIndex}, snapshot ${status.snapshotIndex}",
        ledgerLine(status),
        "  configuration: applied ${status.configuration}, in force $inForce",
    ).plus(status.members.map { memberLine(status, it) })
        .plus(status.routers.map(::routerLine))
        .plus(status.upstreams.map { upstreamLine(status, it) })
        .joinToString("\n")
}

private fun ledgerLine(status: ControlStatus): String =
    with(status.domainLedger) {
        "  domain ledger: $sessions sessions, $reservations reservations, $claims claims, $unmerged charges to merge"
    }

private fun memberLine(status: ControlStatus, member: ConsensusMember): String {
    val url = status.controlUrls.firstOrNull { it.replica == member.replica }?.url
    val place = if (member.replica == status.replica) " (this one)" else url?.let { " at $it" }.orEmpty()
    return "  member ${member.replica}$place${if (member.isVoter) "" else ", learner"}"
}

private fun routerLine(row: RouterRow): String =
    "  router ${row.id} in ${row.domain}: ${row.state.name.lowercase()}, ${row.inFlight} in flight"

private fun upstreamLine(status: ControlStatus, report: UpstreamReport): String {
    val leaving = if (report.upstream in status.leavingUpstreams) ", leaving" else ""
    return "  upstream ${report.upstream}: ${report.running} running, ${report.waiting} waiting$leaving"
}
