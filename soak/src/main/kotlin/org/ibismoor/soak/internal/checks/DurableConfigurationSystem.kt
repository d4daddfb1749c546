/**
 * Checks that a confirmed configuration is never lost over a restart, and that a version is always read back with the
 * content that was sent under it. Keeps the table of configurations.
 */
package org.ibismoor.soak.internal.checks

import kotlinx.collections.immutable.mutate
import org.ibismoor.core.api.Timestamp
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.ConfigurationConfirmed
import org.ibismoor.soak.api.ConfigurationRead
import org.ibismoor.soak.api.ConfigurationRow
import org.ibismoor.soak.api.ConfigurationSent
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation

internal class DurableConfigurationSystem(private val settings: CheckSettings) : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is ConfigurationSent -> CheckStep(recordSent(tables, observation))
            is ConfigurationConfirmed -> CheckStep(recordConfirmed(tables, observation))
            is ConfigurationRead -> checkRead(tables, observation)
            else -> CheckStep(tables)
        }

    private fun recordSent(tables: CheckTables, sent: ConfigurationSent): CheckTables {
        if (sent.version <= tables.forgottenVersion) return tables
        val row = tables.configurations[sent.version] ?: ConfigurationRow()
        return tables.withConfiguration(sent.version, row.copy(digests = row.digests.add(sent.digest)))
    }

    /** Once a version was confirmed long ago, lower ones are irrelevant: reading them is a violation anyway. */
    private fun recordConfirmed(tables: CheckTables, confirmed: ConfigurationConfirmed): CheckTables {
        val row = tables.configurations[confirmed.version]?.takeIf { it.confirmedAt == null } ?: return tables
        val updated = tables.withConfiguration(confirmed.version, row.copy(confirmedAt = confirmed.at))
        val due = tables.findDueConfiguration(confirmed.at, settings.requestRetentionMillis)
        val forgotten = due?.version?.minus(1) ?: tables.forgottenVersion
        return updated.copy(
            configurations = updated.configurations.mutate { rows -> rows.keys.removeAll { it <= forgotten } },
            forgottenVersion = forgotten,
        )
    }

    private fun checkRead(tables: CheckTables, read: ConfigurationRead): CheckStep {
        val due = tables.findDueConfiguration(read.sentAt, settings.configurationApplyMillis)
            ?.takeIf { tables.isStartedAfter(it, read) }
        val counted = tables.withExercised(Guarantee.DURABLE_CONFIGURATION, due != null)
        val details = when {
            due != null && read.version < due.version ->
                "answers version ${read.version} after a restart, ${due.version} was confirmed before it"
            else -> findContentFault(tables, read)
        }
        val text = details?.let { "${read.process.text}: $it" }
        return checked(counted.withReadDigest(read), Guarantee.DURABLE_CONFIGURATION, read.at, request = null, text)
    }

    private fun findContentFault(tables: CheckTables, read: ConfigurationRead): String? {
        val row = tables.configurations[read.version]
        return when {
            row == null -> "version ${read.version} was never sent".takeIf { read.version > tables.forgottenVersion }
            read.digest !in row.digests -> "version ${read.version} has other content than was sent"
            row.readDigest != null && row.readDigest != read.digest -> "the content of ${read.version} has changed"
            else -> null
        }
    }

    private fun CheckTables.withReadDigest(read: ConfigurationRead): CheckTables {
        val row = configurations[read.version]?.takeIf { it.readDigest == null } ?: return this
        return withConfiguration(read.version, row.copy(readDigest = read.digest))
    }

    private fun CheckTables.withConfiguration(version: Long, row: ConfigurationRow): CheckTables =
        copy(configurations = configurations.put(version, row))
}

/** The newest configuration that the whole fleet has to follow at a time. */
internal data class DueConfiguration(val version: Long, val confirmedAt: Timestamp)

internal fun CheckTables.findDueConfiguration(at: Timestamp, applyMillis: Long): DueConfiguration? =
    configurations.entries
        .mapNotNull { (version, row) -> row.confirmedAt?.let { DueConfiguration(version, it) } }
        .filter { at - it.confirmedAt > applyMillis }
        .maxByOrNull { it.version }

/** The process that answered [read] was started after [configuration] had been confirmed. */
internal fun CheckTables.isStartedAfter(configuration: DueConfiguration, read: ConfigurationRead): Boolean {
    val startedAt = processes[read.process]?.startedAt ?: return false
    return startedAt > configuration.confirmedAt && read.sentAt >= startedAt
}
