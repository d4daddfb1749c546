/**
 * Where a process keeps its logs: a data folder in production, memory in tests.
 */
package org.ibismoor.storage.api

fun interface RecordStore {
    /** Opens or creates the log [name]. Throws `StorageException` if it is damaged or open elsewhere. */
    fun open(name: String): OpenedLog
}
