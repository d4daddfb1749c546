/**
 * Fetches the configuration that the leader has named, and puts it in force. Any control process can serve a committed
 * configuration, so routers fetch from different ones: if all fetched from the leader, its link would carry a large
 * document once for each router, and its reports and consensus messages would wait behind them.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.ApplyConfiguration
import org.ibismoor.forwarding.api.ConfigurationFetch
import org.ibismoor.forwarding.api.ConfigurationFetchFailed
import org.ibismoor.forwarding.api.ConfigurationFetched
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.FetchConfiguration
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables

private const val MAXIMUM_RETRY_DOUBLINGS = 4
private const val OLDER_VERSION_CAUSE = "older_version"

internal class ConfigurationSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is ConfigurationFetched -> finishFetch(table, message, tick.now)
                is ConfigurationFetchFailed -> handleFailedFetch(table, message.cause, tick.now)
                else -> ForwardingStep(table)
            }
        }.then { fetchIfDue(it, tick.now) }

    private fun finishFetch(
        tables: ForwardingTables,
        message: ConfigurationFetched,
        now: Timestamp,
    ): ForwardingStep {
        val isOlder = message.configuration.version < (tables.configurationStatus.fetch?.version ?: 0)
        return applyConfiguration(tables, message.configuration, now)
            .then { if (isOlder) handleFailedFetch(it, OLDER_VERSION_CAUSE, now) else ForwardingStep(endFetch(it)) }
    }

    private fun endFetch(tables: ForwardingTables): ForwardingTables =
        tables.copy(configurationStatus = tables.configurationStatus.copy(fetch = null, failedFetches = 0))

    private fun handleFailedFetch(tables: ForwardingTables, cause: String, now: Timestamp): ForwardingStep {
        val status = tables.configurationStatus
        val delay = settings.times.fetchRetryMillis shl status.failedFetches.coerceAtMost(MAXIMUM_RETRY_DOUBLINGS)
        val next = status.copy(
            fetch = null,
            nextFetchAt = now + delay,
            failedFetches = status.failedFetches + 1,
            lastFetchFailure = cause,
        )
        val decision = logDecision(
            DecisionKind.CONFIGURATION_FETCH_FAILED,
            null,
            "version" to status.fetch?.version,
            "host" to status.fetch?.host,
            "took_ms" to status.fetch?.let { now - it.startedAt },
            "cause" to cause,
        )
        return ForwardingStep(tables.copy(configurationStatus = next), listOf(decision))
    }

    private fun fetchIfDue(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val dueAt = tables.nextFetchAt()
        if (dueAt == null || dueAt > now) return ForwardingStep(tables)
        val status = tables.configurationStatus
        val fetch = ConfigurationFetch(status.newestVersion, fetchHost(tables), now)
        return ForwardingStep(
            tables.copy(configurationStatus = status.copy(fetch = fetch)),
            listOf(FetchConfiguration(fetch.version, fetch.host)),
        )
    }
}

/** When to fetch the configuration that the leader has named; null if there is none to fetch, or it is on its way. */
internal fun ForwardingTables.nextFetchAt(): Timestamp? {
    val status = configurationStatus
    val isBehind = status.newestVersion > (configuration?.version ?: 0)
    return status.nextFetchAt.takeIf { isBehind && status.fetch == null && fleet.controlHosts.isNotEmpty() }
}

/** The first host differs between routers; after a failure follow the leader's, which has the version, and the rest. */
private fun fetchHost(tables: ForwardingTables): String {
    val hosts = tables.fleet.controlHosts
    val first = hosts.sorted()[Math.floorMod(tables.session.hashCode(), hosts.size)]
    val ordered = listOf(first) + (hosts - first)
    return ordered[tables.configurationStatus.failedFetches % ordered.size]
}

internal fun applyConfiguration(
    tables: ForwardingTables,
    configuration: ForwardingConfiguration?,
    now: Timestamp,
): ForwardingStep {
    val version = tables.configuration?.version ?: 0
    if (configuration == null || configuration.version <= version) return ForwardingStep(tables)
    val decision = logDecision(
        DecisionKind.CONFIGURATION_IN_FORCE,
        null,
        "version" to configuration.version,
        "before" to version,
        "routes" to configuration.routes.values.sumOf { it.size },
    )
    return ForwardingStep(
        tables.copy(
            configuration = configuration,
            configurationStatus = tables.configurationStatus.copy(inForceSince = now),
        ),
        listOf(ApplyConfiguration(configuration), decision),
    )
}

/**
 * The leader has answered the last report with [version], the newest one that it had committed by then. A newer version
 * does not wait for the retry of an older one.
 */
internal fun ForwardingTables.withNewestVersion(version: Long): ForwardingTables {
    val status = configurationStatus
    val isNewer = version > status.newestVersion
    return copy(
        configurationStatus = status.copy(
            newestVersion = maxOf(version, status.newestVersion, configuration?.version ?: 0),
            namedAt = fleet.lastReportAt,
            lostReports = 0,
            nextFetchAt = if (isNewer) fleet.lastReportAt else status.nextFetchAt,
            failedFetches = if (isNewer) 0 else status.failedFetches,
        ),
    )
}
