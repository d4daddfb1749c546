/**
 * The entries that were due and the queue without them.
 */
package org.ibismoor.core.api

data class Due<K>(val entries: List<DueEntry<K>>, val rest: DueQueue<K>)
