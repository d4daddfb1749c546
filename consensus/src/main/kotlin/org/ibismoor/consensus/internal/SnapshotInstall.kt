/**
 * Installation of a snapshot in place of the start of a log, from the leader or from replayed records.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.SnapshotRecord

/** Keeps the entries after the snapshot only if the log holds the last entry of the snapshot with the same term. */
internal fun ConsensusTables.installSnapshot(record: SnapshotRecord): ConsensusTables {
    val isMatch = record.index <= log.lastIndex && log.termAt(record.index) == record.term
    val row = MembershipRow(record.index, record.members)
    val later = memberships.removeAll { !isMatch || it.index <= record.index }
    return copy(
        snapshot = SnapshotRow(record.index, record.term, record.members, record.payload),
        log = if (isMatch) log.dropThrough(record.index) else LogTable(record.index, record.term, record.index),
        memberships = later.add(0, row),
        commitIndex = maxOf(commitIndex, record.index),
    )
}
