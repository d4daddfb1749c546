/**
 * A request of a caller in a scenario. [apiKey] is the text of the API key, [key] the caller's idempotency key.
 */
package org.ibismoor.scenario.api

sealed interface Call {
    val apiKey: String
    val key: String

    /** Whether the declared rules allow the call to run more than once. */
    val isIdempotent: Boolean
}

/** A chat completion. [answerTokenBound] is the limit that the caller declares, [answerTokens] the actual size. */
data class ChatCall(
    override val apiKey: String,
    override val key: String,
    val model: String,
    val promptTokens: Long,
    val answerTokens: Long,
    val answerTokenBound: Int,
) : Call {
    override val isIdempotent: Boolean get() = true
}

/** A call of a service other than a model. */
data class ServiceCall(
    override val apiKey: String,
    override val key: String,
    val route: String,
    val method: String,
    val path: String,
    override val isIdempotent: Boolean,
) : Call
