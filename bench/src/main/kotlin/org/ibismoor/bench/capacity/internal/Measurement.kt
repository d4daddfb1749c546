/**
 * One measurement of a control role at several sizes.
 */
package org.ibismoor.bench.capacity.internal

import java.util.Locale

internal enum class MeasurementName { CONFIGURATION, HEARTBEATS, LEDGER, MERGES, SNAPSHOT }

internal data class Figure(val name: String, val value: Double, val unit: String) {
    fun text(): String = String.format(Locale.ROOT, "%s %.2f %s", name, value, unit)
}

internal interface Measurement {
    val name: MeasurementName
    val unit: String
    val sizes: List<Int>

    fun measure(size: Int): List<Figure>
}

internal fun measurements(): List<Measurement> = listOf(
    ConfigurationMeasurement(),
    HeartbeatMeasurement(),
    LedgerMeasurement(),
    MergeMeasurement(),
    SnapshotMeasurement(),
)
