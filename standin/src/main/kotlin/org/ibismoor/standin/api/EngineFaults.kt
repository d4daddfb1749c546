/**
 * Faults that an engine stand-in shows: answers that break after a number of chunks, that name another request, that
 * have no usage, or that are longer than asked for.
 */
package org.ibismoor.standin.api

data class EngineFaults(
    val breakAfterChunks: Int? = null,
    val hasWrongRequestId: Boolean = false,
    val hasNoUsage: Boolean = false,
    val ignoresTokenBound: Boolean = false,
)
