/**
 * The parts of a snapshot received so far from the leader of [IncomingSnapshot.term], and their total size in
 * characters as [IncomingSnapshot.length].
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.PersistentList

internal data class IncomingSnapshot(
    val term: Long,
    val index: Long,
    val parts: PersistentList<String>,
    val length: Int,
) {
    fun withPart(part: String): IncomingSnapshot = copy(parts = parts.add(part), length = length + part.length)
}
