/**
 * Storage for the logs of a process: a data folder in production, memory in tests.
 */
package org.ibismoor.storage.api

fun interface RecordStore {
    /** Opens or creates the log [name]. Throws `StorageException` if it is damaged or already open. */
    fun open(name: String): OpenedLog
}
