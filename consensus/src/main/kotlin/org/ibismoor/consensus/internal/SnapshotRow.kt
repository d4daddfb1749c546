/**
 * The last snapshot of the application state. Index 0 with an empty payload stands for no snapshot.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusMember

internal data class SnapshotRow(
    val index: Long,
    val term: Long,
    val members: List<ConsensusMember>,
    val payload: String,
) {
    companion object {
        val NONE = SnapshotRow(0, 0, emptyList(), "")
    }
}
