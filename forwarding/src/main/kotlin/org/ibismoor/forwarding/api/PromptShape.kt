/**
 * Size of a model request and the parts of its prompt, in the order in which an engine reads them.
 */
package org.ibismoor.forwarding.api

data class PromptShape(
    val inputTokens: Long,
    /** The largest number of tokens that the answer may have. */
    val outputTokens: Long,
    val parts: List<PromptPart>,
) {
    /** Tokens that the request can cost at most. */
    val maximumCost: Long get() = inputTokens + outputTokens
}

/** A part of a prompt. Equal parts of two requests have the same identifier. */
data class PromptPart(val id: String, val tokens: Long)
