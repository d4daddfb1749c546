/**
 * Replaces the start of a log by a snapshot, both when one arrives and when records are replayed.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.SnapshotRecord

/** Entries after the snapshot stay only if the log agrees with it at its last entry. */
internal fun ConsensusTables.install(record: SnapshotRecord): ConsensusTables {
    val isAgreeing = record.index <= log.lastIndex && log.termAt(record.index) == record.term
    val row = MembershipRow(record.index, record.members)
    val later = memberships.removeAll { !isAgreeing || it.index <= record.index }
    return copy(
        snapshot = SnapshotRow(record.index, record.term, record.members, record.payload),
        log = if (isAgreeing) log.dropTo(record.index) else LogTable(record.index, record.term, record.index),
        memberships = later.add(0, row),
        commitIndex = maxOf(commitIndex, record.index),
    )
}
