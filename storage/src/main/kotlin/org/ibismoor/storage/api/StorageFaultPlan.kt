/**
 * Faults that a [MemoryStore] injects. Appends and replacements of all its logs are counted together from 1; each
 * fault strikes once.
 */
package org.ibismoor.storage.api

data class StorageFaultPlan(
    /** The sync of this write fails: its records are lost at the next crash, and the log accepts no more. */
    val failSyncAt: Int? = null,
    /** This write is interrupted: [keptRecords] of its records survive, the next one is torn, the rest is lost. */
    val tearAt: Int? = null,
    val keptRecords: Int = 0,
    /** Writes that would make the logs larger than this many bytes together fail. */
    val capacityBytes: Long = Long.MAX_VALUE,
)
