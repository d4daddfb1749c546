/**
 * Computes the digest of configuration tables in a canonical order. Each part is written with its length, so that
 * different contents never have the same canonical text.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.configuration.api.ApiKey
import org.ibismoor.configuration.api.Budget
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ControlMember
import org.ibismoor.configuration.api.FleetSettings
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.Route
import org.ibismoor.configuration.api.ServiceRoute
import org.ibismoor.configuration.api.ServiceRule
import org.ibismoor.configuration.api.Upstream
import java.security.MessageDigest
import java.util.HexFormat

internal fun contentDigest(tables: ConfigurationTables): String {
    val lines =
        listOf(line(tables.settings)) +
            tables.organisations.values.sortedBy { it.id }.map(::line) +
            tables.apiKeys.values.sortedBy { it.digest }.map(::line) +
            tables.budgets.values.sortedBy { it.id }.map(::line) +
            tables.routes.values.sortedBy { it.id }.map(::line) +
            tables.upstreams.values.sortedBy { it.id }.map(::line) +
            tables.controlMembers.values.sortedBy { it.replica }.map(::line)
    val digest = MessageDigest.getInstance("SHA-256").digest(lines.joinToString("\n").toByteArray())
    return HexFormat.of().formatHex(digest)
}

private fun line(kind: String, parts: List<Any?>): String =
    (listOf(kind) + parts.map { it.toString() }).joinToString(" ") { "${it.length}:$it" }

private fun line(row: FleetSettings): String = line("settings", listOf(row.heldBackPerMille, row.reservation))

private fun line(row: Organisation): String = line("organisation", listOf(row.id, row.weight, row.requestsPerSecond))

private fun line(row: ApiKey): String = line("key", listOf(row.digest, row.organisation, row.budget, row.priority))

private fun line(row: Budget): String {
    val grants = row.grants.entries.sortedBy { it.key }.flatMap { listOf(it.key, it.value) }
    return line("budget", listOf(row.id, row.organisation) + grants)
}

private fun line(row: Route): String {
    val common = listOf(row.id, row.group, row.deadlineMillis)
    return when (row) {
        is ModelRoute -> line("model", common + listOf(row.model, row.defaultAnswerTokens, row.maximumAnswerTokens))
        is ServiceRoute -> line("service", common + row.rules.flatMap(::parts))
    }
}

private fun parts(row: ServiceRule): List<Any> = listOf(row.method, row.pathPrefix, row.isIdempotent, row.price)

private fun line(row: Upstream): String =
    line("upstream", listOf(row.id, row.group, row.domain, row.baseUrl, row.checksFencing, row.supportsResume))

private fun line(row: ControlMember): String = line("member", listOf(row.replica, row.baseUrl))
