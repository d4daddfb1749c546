/**
 * Faults that a [MemoryStore] injects. Writes (appends and replacements) are numbered from 1 across all its logs; each
 * fault occurs once.
 */
package org.ibismoor.storage.api

data class StorageFaultPlan(
    /** Number of the write whose sync fails: its records are lost at the next crash and the log accepts no more. */
    val failSyncAtWrite: Int? = null,
    /** Number of the interrupted write: [survivingRecords] records survive, the next is torn, the rest is lost. */
    val tearAtWrite: Int? = null,
    val survivingRecords: Int = 0,
    /** Writes that would bring the total size of all logs above this limit fail. */
    val capacityBytes: Long = Long.MAX_VALUE,
)
