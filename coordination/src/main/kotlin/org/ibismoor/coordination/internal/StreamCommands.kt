/**
 * Applies changes to what is remembered of the beginnings of streams.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.coordination.api.BegunStreams
import org.ibismoor.coordination.api.StreamChanges
import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.coordination.api.StreamTables

/** The oldest records make room; at the peak of the largest fleet this many streams begin in 20 s. */
private const val MAXIMUM_RECORDED_STREAMS = 32_768

internal fun StreamTables.withChanges(changes: StreamChanges): StreamTables {
    val appeared = changes.appeared.fold(this) { table, origin -> table.withVersion(origin) }
    val recorded = appeared.copy(begun = appeared.begun.addAll(changes.begun).withoutOldest())
    return changes.forgotten.fold(recorded) { table, origin -> table.withoutVersion(origin) }
}

private fun StreamTables.withVersion(origin: StreamOrigin): StreamTables =
    if (isListed(origin)) {
        this
    } else {
        copy(versions = versions.put(origin.group, versions[origin.group].orEmpty() + origin.version))
    }

private fun StreamTables.withoutVersion(origin: StreamOrigin): StreamTables {
    val rest = versions[origin.group].orEmpty() - origin.version
    return copy(
        versions = if (rest.isEmpty()) versions.remove(origin.group) else versions.put(origin.group, rest),
        begun = begun.removeAll { it.origin == origin },
    )
}

private fun PersistentList<BegunStreams>.withoutOldest(): PersistentList<BegunStreams> {
    var surplus = sumOf { it.streams.size } - MAXIMUM_RECORDED_STREAMS
    if (surplus <= 0) return this
    return dropWhile { batch -> (surplus > 0).also { surplus -= batch.streams.size } }.toPersistentList()
}
