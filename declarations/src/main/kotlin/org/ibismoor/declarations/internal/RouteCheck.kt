/**
 * Checks of routes: rules that can never match, and contradictory bounds on answers.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

/** The first matching rule applies, so a rule that an earlier one covers is never reached. */
internal fun unreachableRules(declared: DeclaredTables): List<Finding> =
    declared.routes.filterIsInstance<DeclaredServiceRoute>().flatMap { route ->
        val rules = route.rules.value
        val empty = Finding(route.rules.place, "route ${route.name.value} has no rules", "add at least one rule")
        rules.indices.mapNotNull { coveredRuleFinding(rules, it) } + listOf(empty).filter { rules.isEmpty() }
    }

private fun coveredRuleFinding(rules: List<DeclaredRule>, index: Int): Finding? {
    val rule = rules[index]
    val earlier = rules.take(index).firstOrNull { it.covers(rule) }
    return earlier?.let {
        val problem = "the rule for ${rule.method.value} ${rule.path.value} never applies"
        Finding(rule.path.place, problem, "the earlier rule at ${it.path.place} covers it; put the longer path first")
    }
}

private fun DeclaredRule.covers(other: DeclaredRule): Boolean =
    method.value == other.method.value && other.path.value.startsWith(path.value)

internal fun contradictoryAnswerBounds(declared: DeclaredTables): List<Finding> =
    declared.routes.filterIsInstance<DeclaredModelRoute>()
        .filter { it.defaultAnswerTokens.value > it.maximumAnswerTokens.value }
        .map {
            val remedy = "lower it to at most ${it.maximumAnswerTokens.value} or raise maximum_answer_tokens"
            Finding(it.defaultAnswerTokens.place, "default_answer_tokens exceeds maximum_answer_tokens", remedy)
        }
