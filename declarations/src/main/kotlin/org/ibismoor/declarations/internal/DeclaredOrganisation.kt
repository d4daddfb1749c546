/**
 * A declared organisation with its API keys.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.configuration.api.Priority

private const val MAXIMUM_WEIGHT = 1_000L
private const val MAXIMUM_REQUESTS_PER_SECOND = 1_000_000L
private const val NO_RATE_LIMIT = 0L

internal data class DeclaredOrganisation(
    val name: Located<String>,
    val weight: Int,
    val requestsPerSecond: Int?,
    val keys: List<DeclaredKey>,
)

internal data class DeclaredKey(val digest: Located<String>, val budget: Located<String>, val priority: Priority)

internal fun readOrganisation(node: RecordNode): ParseResult<DeclaredOrganisation> {
    val name = node.required("name", NameType)
    val weight = node.optional("weight", WholeNumberType(1L..MAXIMUM_WEIGHT), 1L)
    val rate = node.optional("requests_per_second", WholeNumberType(1L..MAXIMUM_REQUESTS_PER_SECOND), NO_RATE_LIMIT)
    val keys = node.records("keys", ::readKey)
    return node.build(listOf(name, weight, rate, keys)) {
        val limit = rate.located.value.toInt().takeIf { it > 0 }
        DeclaredOrganisation(name.located, weight.located.value.toInt(), limit, keys.located.value)
    }
}

private fun readKey(node: RecordNode): ParseResult<DeclaredKey> {
    val digest = node.required("sha256", DigestType)
    val budget = node.required("budget", NameType)
    val priorities = Priority.entries.associateBy { it.text }
    val priority = node.optional("priority", ChoiceType(priorities), Priority.NORMAL)
    return node.build(listOf(digest, budget, priority)) {
        DeclaredKey(digest.located, budget.located, priority.located.value)
    }
}
