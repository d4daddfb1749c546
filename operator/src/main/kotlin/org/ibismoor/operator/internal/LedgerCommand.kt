/**
 * Command line of `ibismoor-ledger`: prints the charges, budgets and shares that the control processes report.
 */
package org.ibismoor.operator.internal

import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.optionalSetting
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.settingFindings
import org.ibismoor.runtime.api.unknownFindings
import org.ibismoor.transport.api.BudgetView
import org.ibismoor.transport.api.ChargeView
import org.ibismoor.transport.api.LedgerView
import org.ibismoor.transport.api.ShareView
import org.ibismoor.transport.api.encodeJson
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Unmatched
import java.time.Instant
import java.util.concurrent.Callable

@Command(
    name = "ibismoor-ledger",
    description = ["Shows charges by organisation and totals against budgets, in budget tokens."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class LedgerCommand : Callable<Int> {
    @Option(names = ["--control"], description = ["Base URLs of control processes, separated by commas."])
    private var control: String? = null

    @Option(names = ["--organisation"], description = ["Show this organisation only."])
    private var organisation: String? = null

    @Option(names = ["--json"], description = ["Print the JSON document of the first listed process that answers."])
    private var isJson: Boolean = false

    @Unmatched
    private var unknown: List<String> = ArrayList()

    override fun call(): Int {
        val urls = requiredSetting("--control", control, SettingTypes.listOf(SettingTypes.baseUrl))
        val filter = optionalSetting("--organisation", organisation, SettingTypes.name)
        val findings = settingFindings(urls, filter) + unknownFindings(unknown)
        return if (findings.isEmpty()) printLedger(urls.value, filter.valueOrNull) else reportFindings(findings)
    }

    private fun printLedger(urls: List<String>, organisationName: String?): Int =
        HttpControlPort().use { port ->
            val answers = urls.associateWith { port.ledger(it, organisationName) }
            answers.filterValues { it == null }.keys.forEach(::reportNoAnswer)
            val views = answers.values.filterNotNull()
            if (views.isNotEmpty()) println(if (isJson) ledgerJson(views.first()) else ledgerText(views))
            if (views.isEmpty()) ExitCode.UNAVAILABLE else ExitCode.SUCCESS
        }

    private fun ledgerJson(view: LedgerView): String = encodeJson(LedgerView.serializer(), view)
}

/**
 * Human-readable form: the charges of all processes without duplicates, totals by organisation, and the budgets of the
 * process with the most spent tokens, which is the one that has merged most.
 */
internal fun ledgerText(views: List<LedgerView>): String {
    val charges = views.flatMap { it.charges }.sortedByDescending { it.isMerged }.distinctBy { it.charge.key }
    val budgets = views.maxByOrNull { view -> view.budgets.sumOf { it.spent } }?.budgets.orEmpty()
    val lines = charges.sortedWith(compareBy({ it.charge.key.organisation }, { it.charge.chargedAt })).map(::chargeLine)
    val totals = charges.groupBy { it.charge.key.organisation }.toSortedMap().map { (organisation, rows) ->
        "total of $organisation: ${rows.sumOf { it.charge.amount }} in ${rows.size} charges"
    }
    return (lines + totals + budgets.flatMap(::budgetLines)).joinToString("\n")
}

private fun chargeLine(view: ChargeView): String =
    with(view.charge) {
        val state = if (view.isMerged) "merged" else "at the domain"
        val time = Instant.ofEpochMilli(chargedAt.epochMillis)
        "charge $time ${key.organisation} ${key.key} $budget $amount ${outcome.text} by $replica, $state"
    }

private fun budgetLines(view: BudgetView): List<String> =
    listOf(budgetLine(view)) + view.shares.map { shareLine(view, it) }

private fun shareLine(view: BudgetView, share: ShareView): String =
    with(share.share) {
        "share of ${share.replica} in ${view.budget}: issued $issued, returned $returned, " +
            "spent ${spent - voided}, left $remaining"
    }

private fun budgetLine(view: BudgetView): String =
    "budget ${view.budget} of ${view.organisation ?: "nobody"}: granted ${view.granted}, " +
        "spent ${view.spent - view.voided}, written off ${view.writtenOff}"
