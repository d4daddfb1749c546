/**
 * An append-only log of text records in the data folder. Every call returns after the data is synced, or throws
 * `StorageException`; after an exception the log accepts no more records, because a failed sync must not be retried
 * as if it had succeeded. A log is used by one thread.
 */
package org.ibismoor.storage.api

interface RecordLog : AutoCloseable {
    /** Size of the log on disk in bytes. */
    val sizeBytes: Long

    /** Appends [records] in order and syncs once. */
    fun append(records: List<String>)

    /** Replaces the whole content by [records]. After a crash either the old or the new content is there. */
    fun replace(records: List<String>)
}
