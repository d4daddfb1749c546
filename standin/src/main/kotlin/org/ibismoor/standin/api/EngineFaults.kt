/**
 * Faults that an engine stand-in injects: answers that break off after a number of chunks, carry the id of another
 * request, omit the usage, or exceed the token limit of the request.
 */
package org.ibismoor.standin.api

data class EngineFaults(
    val breakAfterChunks: Int? = null,
    val hasWrongRequestId: Boolean = false,
    val omitsUsage: Boolean = false,
    val ignoresTokenLimit: Boolean = false,
)
