/**
 * Measures the fleet tables at a control process: memory, the size of a snapshot, and the time to write and read it.
 * The size is the number of budgets.
 */
package org.ibismoor.bench.capacity.internal

import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.encodeJson

private const val UPSTREAMS_PER_THOUSAND_BUDGETS = 19
private const val THOUSAND = 1_000
private const val RUNS = 3
private const val MICROS_PER_MILLI = 1_000.0
private const val BYTES_PER_MEGABYTE = 1_000_000.0

internal class SnapshotMeasurement : Measurement {
    override val name = MeasurementName.SNAPSHOT
    override val unit = "budgets"
    override val sizes = budgetSizes

    override fun measure(size: Int): List<Figure> {
        val tables = fleetOf(configuration(size, size * UPSTREAMS_PER_THOUSAND_BUDGETS / THOUSAND))
        val text = encodeJson(FleetTables.serializer(), tables)
        val (_, megabytes) = withHeap { decodeSnapshot(text) }
        val writeMicros = microsPerRun(RUNS) { encodeJson(FleetTables.serializer(), tables) }
        val readMicros = microsPerRun(RUNS) { decodeSnapshot(text) }
        return listOf(
            Figure("heap", megabytes, "MB"),
            Figure("snapshot", text.length / BYTES_PER_MEGABYTE, "MB"),
            Figure("writing", writeMicros / MICROS_PER_MILLI, "ms"),
            Figure("reading", readMicros / MICROS_PER_MILLI, "ms"),
        )
    }

    private fun decodeSnapshot(text: String): FleetTables =
        (decodeJson(FleetTables.serializer(), text) as Decoded.Value).value
}
