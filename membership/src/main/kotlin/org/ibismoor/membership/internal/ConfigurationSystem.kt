/**
 * Stores the configuration and its last deltas for routers.
 */
package org.ibismoor.membership.internal

import org.ibismoor.configuration.api.forRouters
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.membership.api.ConfigurationAdvanced
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipSettings
import org.ibismoor.membership.api.MembershipTables

internal class ConfigurationSystem(private val settings: MembershipSettings) : MembershipSystem {
    override fun run(tables: MembershipTables, tick: Tick<MembershipMessage>): MembershipStep =
        Step(tick.messages.filterIsInstance<ConfigurationAdvanced>().fold(tables, ::advanceConfiguration))

    private fun advanceConfiguration(tables: MembershipTables, message: ConfigurationAdvanced): MembershipTables {
        if (message.configuration.number <= tables.configuration.number) return tables
        val delta = message.delta.forRouters()
        val count = tables.deltaCount + 1
        val expiredCount = count - settings.retainedDeltas
        val expiredBase = tables.deltaBases[expiredCount]
        val retained = if (expiredBase == null) tables.deltas else tables.deltas.remove(expiredBase)
        return tables.copy(
            configuration = message.configuration,
            deltas = retained.put(delta.base, delta),
            deltaBases = tables.deltaBases.remove(expiredCount).put(count, delta.base),
            deltaCount = count,
        )
    }
}
