/**
 * A declared route to a model or to a plain service.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.declarations.api.DeclarationLimits

private const val MAXIMUM_DEADLINE_MILLIS = 3_600_000L
private const val DEFAULT_MODEL_DEADLINE_MILLIS = 120_000L
private const val DEFAULT_SERVICE_DEADLINE_MILLIS = 30_000L
private const val MAXIMUM_ANSWER_TOKENS = 1_000_000L
private const val DEFAULT_ANSWER_TOKENS = 1_024L
private const val DEFAULT_MAXIMUM_ANSWER_TOKENS = 8_192L
private val METHODS = listOf("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS").associateWith { it }

internal sealed interface DeclaredRoute {
    val name: Located<String>
    val group: Located<String>
}

internal data class DeclaredModelRoute(
    override val name: Located<String>,
    override val group: Located<String>,
    val deadlineMillis: Long,
    val model: Located<String>,
    val defaultAnswerTokens: Located<Int>,
    val maximumAnswerTokens: Located<Int>,
) : DeclaredRoute

internal data class DeclaredServiceRoute(
    override val name: Located<String>,
    override val group: Located<String>,
    val deadlineMillis: Long,
    val rules: Located<List<DeclaredRule>>,
) : DeclaredRoute

internal data class DeclaredRule(
    val method: Located<String>,
    val path: Located<String>,
    val isIdempotent: Boolean,
    val price: Long,
)

internal fun readModelRoute(node: RecordNode): ParseResult<DeclaredRoute> {
    val name = node.required("name", NameType)
    val group = node.required("group", NameType)
    val deadline = node.deadline(DEFAULT_MODEL_DEADLINE_MILLIS)
    val model = node.required("model", TextType)
    val default = node.answerTokens("default_answer_tokens", DEFAULT_ANSWER_TOKENS)
    val maximum = node.answerTokens("maximum_answer_tokens", DEFAULT_MAXIMUM_ANSWER_TOKENS)
    return node.build(listOf(name, group, deadline, model, default, maximum)) {
        DeclaredModelRoute(
            name.located,
            group.located,
            deadline.located.value,
            model.located,
            default.located.toInt(),
            maximum.located.toInt(),
        )
    }
}

internal fun readServiceRoute(node: RecordNode): ParseResult<DeclaredRoute> {
    val name = node.required("name", NameType)
    val group = node.required("group", NameType)
    val deadline = node.deadline(DEFAULT_SERVICE_DEADLINE_MILLIS)
    val rules = node.records("rules", ::readRule)
    return node.build(listOf(name, group, deadline, rules)) {
        DeclaredServiceRoute(name.located, group.located, deadline.located.value, rules.located)
    }
}

private fun readRule(node: RecordNode): ParseResult<DeclaredRule> {
    val method = node.required("method", ChoiceType(METHODS))
    val path = node.required("path", PathType)
    val idempotent = node.required("idempotent", FlagType)
    val price = node.required("price", WholeNumberType(1L..DeclarationLimits.MAXIMUM_TOKENS))
    return node.build(listOf(method, path, idempotent, price)) {
        DeclaredRule(method.located, path.located, idempotent.located.value, price.located.value)
    }
}

private fun RecordNode.deadline(default: Long): Field<Long> =
    optional("deadline_ms", WholeNumberType(1L..MAXIMUM_DEADLINE_MILLIS), default)

private fun RecordNode.answerTokens(name: String, default: Long): Field<Long> =
    optional(name, WholeNumberType(1L..MAXIMUM_ANSWER_TOKENS), default)

private fun Located<Long>.toInt(): Located<Int> = Located(value.toInt(), place)
