/**
 * Result of [DueQueue.take]: the due entries, ordered by time, and the queue without them.
 */
package org.ibismoor.core.api

data class DueEntries<K>(val entries: List<DueEntry<K>>, val rest: DueQueue<K>)
