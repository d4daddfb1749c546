/**
 * Measures the configuration at a router: memory, the size of the first answer and of a change, and the time to apply
 * a change.
 */
package org.ibismoor.bench.capacity.internal

import kotlinx.collections.immutable.plus
import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.deltaBetween
import org.ibismoor.configuration.api.forRouters
import org.ibismoor.configuration.api.withDelta
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.encodeJson

private const val UPSTREAMS_PER_THOUSAND_BUDGETS = 19
private const val RUNS = 200
private const val THOUSAND = 1_000

internal class ConfigurationMeasurement : Measurement {
    override val name = MeasurementName.CONFIGURATION
    override val unit = "budgets"
    override val sizes = budgetSizes

    override fun measure(size: Int): List<Figure> {
        val upstreams = size * UPSTREAMS_PER_THOUSAND_BUDGETS / THOUSAND
        val complete = configuration(size, upstreams)
        val first = deltaBetween(ConfigurationTables(), complete).forRouters()
        val text = encodeJson(ConfigurationDelta.serializer(), first)
        val (tables, megabytes) = withHeap { decodeTables(text) }
        val changes = (1..2 * RUNS).map { encodeJson(ConfigurationDelta.serializer(), organisationDelta(tables, it)) }
        val micros = microsPerRun(RUNS) { tables.withDelta(decodeDelta(changes[it])) }
        return listOf(
            Figure("router heap", megabytes, "MB"),
            Figure("first answer", text.length.toDouble(), "bytes"),
            Figure("one change", changes.first().length.toDouble(), "bytes"),
            Figure("applying it", micros, "us"),
        )
    }

    private fun organisationDelta(tables: ConfigurationTables, number: Int): ConfigurationDelta {
        val added = Organisation(OrganisationId("organisation-new-$number"))
        val next = tables.copy(
            number = ConfigurationNumber(tables.number.value + 1),
            organisations = tables.organisations + (added.id to added),
        )
        return deltaBetween(tables, next).forRouters()
    }

    private fun decodeTables(text: String): ConfigurationTables = ConfigurationTables().withDelta(decodeDelta(text))

    private fun decodeDelta(text: String): ConfigurationDelta =
        (decodeJson(ConfigurationDelta.serializer(), text) as Decoded.Value).value
}
