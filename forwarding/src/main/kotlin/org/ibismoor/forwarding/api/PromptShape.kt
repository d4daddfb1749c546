/**
 * Size of a model request and the parts of its prompt, in the order in which an engine processes them.
 */
package org.ibismoor.forwarding.api

data class PromptShape(
    val inputTokens: Long,
    /** Maximum number of tokens of the answer. */
    val outputTokens: Long,
    val parts: List<PromptPart>,
) {
    /** Maximum cost of the request in tokens. */
    val maximumCost: Long get() = inputTokens + outputTokens
}

/** A part of a prompt. Equal parts of two requests have the same identifier. */
data class PromptPart(val id: String, val tokens: Long)
