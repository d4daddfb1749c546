/**
 * Measures merged charges at each control process: the time to read and apply a batch from the replicated log, and the
 * memory of the retained keys. The size is the number of retained charges.
 */
package org.ibismoor.bench.capacity.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.ChargeRow
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.MergeCharges
import org.ibismoor.ledger.api.ShareReport
import org.ibismoor.ledger.api.applyCommand
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.encodeJson

/** 1,700 requests a second in 7 domains, merged every 200 ms. */
private const val CHARGES_PER_BATCH = 49
private const val BUDGET_COUNT = 5_000
private const val FEW_CHARGES = 20_000
private const val SOME_CHARGES = 50_000
private const val MANY_CHARGES = 200_000
private const val RUNS = 200
private const val SPENT_TOKENS = 420L

internal class MergeMeasurement : Measurement {
    override val name = MeasurementName.MERGES
    override val unit = "retained charges"
    override val sizes = listOf(FEW_CHARGES, SOME_CHARGES, MANY_CHARGES)

    override fun measure(size: Int): List<Figure> {
        val empty = fleetOf(configuration(BUDGET_COUNT, BUDGET_COUNT / CHARGES_PER_BATCH))
        val (filled, megabytes) = withHeap { (0 until size / CHARGES_PER_BATCH).fold(empty, ::mergeBatch) }
        val first = size / CHARGES_PER_BATCH
        val texts = (0 until 2 * RUNS).map { encodeJson(FleetCommand.serializer(), batch(first + it)) }
        var tables = filled
        val micros = microsPerRun(RUNS) { tables = applyCommand(tables, decodeCommand(texts[it])).tables }
        check(tables.charges.size > size) { "charges were not merged" }
        return listOf(
            Figure("retained", megabytes, "MB"),
            Figure("entry", texts.first().length.toDouble(), "bytes for $CHARGES_PER_BATCH charges"),
            Figure("reading and applying", micros, "us each entry"),
        )
    }

    private fun mergeBatch(tables: FleetTables, number: Int): FleetTables =
        applyCommand(tables, decodeCommand(encodeJson(FleetCommand.serializer(), batch(number)))).tables

    private fun decodeCommand(text: String): FleetCommand =
        (decodeJson(FleetCommand.serializer(), text) as Decoded.Value).value

    private fun batch(number: Int): FleetCommand {
        val first = number.toLong() * CHARGES_PER_BATCH
        val charges = (0 until CHARGES_PER_BATCH).map { charge(first + it) }
        val counters = charges.map { ShareReport(it.budget, SPENT_TOKENS * (1 + first / BUDGET_COUNT), 0) }
        val sequence = first + CHARGES_PER_BATCH
        return MergeCharges(targetReplicas.first(), sequence, charges, counters, WallTime(number.toLong()))
    }

    private fun charge(number: Long): ChargeRow {
        val budget = (number % BUDGET_COUNT).toInt()
        val key = RequestKey(organisationOf(BUDGET_COUNT, budget), "norte-1.1.29939564~48ba33cd-41d2-4229-$number")
        return ChargeRow(key, budgetId(budget), SPENT_TOKENS, Outcome.RAN, targetReplicas.first(), WallTime(number))
    }
}
