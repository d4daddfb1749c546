/**
 * An append-only log of text records in the data folder. Every call returns after the data is synced, or throws
 * `StorageException`; after an exception the log accepts no more records, because a repeated sync can succeed
 * although the data of the failed one was lost. Not thread-safe.
 */
package org.ibismoor.storage.api

interface RecordLog : AutoCloseable {
    /** Size of the log on disk in bytes. */
    val sizeBytes: Long

    /** Appends [records] in order, with a single sync. */
    fun append(records: List<String>)

    /** Replaces the whole content by [records] atomically: after a crash the log holds the old or the new content. */
    fun replace(records: List<String>)
}
