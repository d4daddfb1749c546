/**
 * Command line of `ibismoor-bench-budgets`.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable

private const val SECOND_MILLIS = 1_000L
private const val DEFAULT_SEED = "1"
private const val DEFAULT_PARTITIONS = "0,10,60,600,3600"
private const val DEFAULT_SIZING = "DEMAND,EQUAL,POOLED"

@Command(
    name = "ibismoor-bench-budgets",
    description = ["Replays demand on budgets and prints overspend, false refusals and stranded tokens."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class BudgetsCommand : Callable<Int> {
    @Option(names = ["--seed"], description = ["Seed of the demand."], defaultValue = DEFAULT_SEED)
    private var seed: Long = 0

    @Option(
        names = ["--partitions"],
        description = ["Lengths of the partition in seconds, divided by commas."],
        defaultValue = DEFAULT_PARTITIONS,
        split = ",",
    )
    private var partitions: List<Long> = emptyList()

    @Option(
        names = ["--sizing"],
        description = ["Sizing policies, divided by commas: DEMAND, EQUAL, POOLED."],
        defaultValue = DEFAULT_SIZING,
        split = ",",
    )
    private var sizing: List<SizingChoice> = emptyList()

    @Option(
        names = ["--held-back"],
        description = ["Held-back parts in thousandths, divided by commas; without it, those of the deployments."],
        split = ",",
    )
    private var heldBack: List<Int> = emptyList()

    override fun call(): Int {
        println(REPORT_HEADER)
        val overspent = plans().map { plan ->
            val counts = runReplay(plan)
            println(reportLine(plan, counts))
            counts.overspentTokens
        }
        return if (overspent.all { it == 0L }) ExitCode.SUCCESS else ExitCode.FINDINGS
    }

    private fun plans(): List<ReplayPlan> =
        Deployment.entries.flatMap { deployment ->
            val heldBackParts = heldBack.ifEmpty { listOf(deployment.heldBackPerMille) }
            DemandSkew.entries.flatMap { skew -> sizing.flatMap { plansOf(deployment, skew, it, heldBackParts) } }
        }

    private fun plansOf(deployment: Deployment, skew: DemandSkew, sizing: SizingChoice, heldBackParts: List<Int>) =
        heldBackParts.flatMap { part ->
            partitions.map { ReplayPlan(deployment, skew, it * SECOND_MILLIS, sizing, seed, part) }
        }
}
