/**
 * Command line of `ibismoor-ledger`.
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
    @Option(names = ["--control"], description = ["Base URLs of control processes, divided by commas."])
    private var control: String? = null

    @Option(names = ["--organisation"], description = ["Show this organisation only."])
    private var organisation: String? = null

    @Option(names = ["--json"], description = ["Print the JSON document of the first process that answers."])
    private var isJson: Boolean = false

    @Unmatched
    private var unknown: List<String> = ArrayList()

    override fun call(): Int {
        val urls = requiredSetting("--control", control, SettingTypes.listOf(SettingTypes.baseUrl))
        val name = optionalSetting("--organisation", organisation, SettingTypes.name)
        val findings = settingFindings(urls, name) + unknownFindings(unknown)
        return if (findings.isEmpty()) show(urls.value, name.valueOrNull) else reportFindings(findings)
    }

    private fun show(urls: List<String>, name: String?): Int =
        HttpControlPort().use { port ->
            val views = urls.mapNotNull { port.ledger(it, name) }
            if (views.isNotEmpty()) println(if (isJson) json(views.first()) else ledgerText(views))
            if (views.isEmpty()) ExitCode.UNAVAILABLE else ExitCode.SUCCESS
        }

    private fun json(view: LedgerView): String = encodeJson(LedgerView.serializer(), view)
}

/**
 * The form for people: charges of all processes, each request once, with totals. Budgets are those of the process
 * that has merged most.
 */
internal fun ledgerText(views: List<LedgerView>): String {
    val charges = views.flatMap { it.charges }.sortedByDescending { it.isMerged }.distinctBy { it.charge.key }
    val budgets = views.maxByOrNull { view -> view.budgets.sumOf { it.spent } }?.budgets.orEmpty()
    val lines = charges.sortedWith(compareBy({ it.charge.key.organisation }, { it.charge.chargedAt })).map(::line)
    val totals = charges.groupBy { it.charge.key.organisation }.toSortedMap().map { (organisation, rows) ->
        "total of $organisation: ${rows.sumOf { it.charge.amount }} in ${rows.size} charges"
    }
    return (lines + totals + budgets.flatMap(::budgetLines)).joinToString("\n")
}

private fun line(view: ChargeView): String =
    with(view.charge) {
        val state = if (view.isMerged) "merged" else "at the domain"
        val time = Instant.ofEpochMilli(chargedAt.epochMillis)
        "charge $time ${key.organisation} ${key.key} $budget $amount ${outcome.text} by $replica, $state"
    }

private fun budgetLines(view: BudgetView): List<String> = listOf(line(view)) + view.shares.map { line(view, it) }

private fun line(view: BudgetView, share: ShareView): String =
    with(share.share) {
        "share of ${share.replica} in ${view.budget}: issued $issued, returned $returned, " +
            "spent ${spent - voided}, left $remaining"
    }

private fun line(view: BudgetView): String =
    "budget ${view.budget} of ${view.organisation ?: "nobody"}: granted ${view.granted}, " +
        "spent ${view.spent - view.voided}, written off ${view.writtenOff}"
