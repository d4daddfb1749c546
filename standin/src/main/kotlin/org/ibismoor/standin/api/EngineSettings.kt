/**
 * Settings of an engine stand-in. At most [slots] answers run concurrently; further requests wait. An answer has
 * [answerTokens] tokens, or fewer if the request has a lower token limit.
 */
package org.ibismoor.standin.api

private const val DEFAULT_SLOTS = 32
private const val DEFAULT_ANSWER_TOKENS = 100
private const val DEFAULT_FIRST_TOKEN_MILLIS = 20L
private const val DEFAULT_TOKENS_PER_SECOND = 40.0

data class EngineSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val slots: Int = DEFAULT_SLOTS,
    val answerTokens: Int = DEFAULT_ANSWER_TOKENS,
    val pace: TokenPace = steadyPace(DEFAULT_FIRST_TOKEN_MILLIS, DEFAULT_TOKENS_PER_SECOND),
    val faults: EngineFaults = EngineFaults(),
)
