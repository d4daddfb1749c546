/**
 * A log of a `MemoryStore`, with injected faults.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.RecordLog
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.StorageFaultPlan

internal class MemoryLog(
    private val file: MemoryLogFile,
    private val planNextWrite: () -> StorageFaultPlan,
    private val freeBytes: () -> Long,
) : RecordLog {
    private var isUsable = true

    override val sizeBytes: Long get() = file.sizeBytes

    override fun append(records: List<String>) {
        val plan = beginWrite(records, freeBytes())
        if (plan.tearAtWrite != null) {
            file.survivingRecords = records.take(plan.survivingRecords)
            file.tornBytes = records.drop(plan.survivingRecords).take(1).sumOf { recordBytes(it) / 2 }
        }
        endWrite(plan)
        file.syncedRecords = file.syncedRecords + records
    }

    /** An interrupted replacement keeps the old content. */
    override fun replace(records: List<String>) {
        val plan = beginWrite(records, freeBytes())
        endWrite(plan)
        file.syncedRecords = records
    }

    override fun close() {
        isUsable = false
        file.release(this)
    }

    fun markUnusable() {
        isUsable = false
    }

    private fun beginWrite(records: List<String>, free: Long): StorageFaultPlan {
        checkUsable(isUsable, file.name)
        records.forEach { checkSize(file.name, it) }
        val plan = planNextWrite()
        isUsable = false
        val size = records.sumOf { recordBytes(it) }
        if (size > free) throw StorageException("cannot write $size bytes to ${file.name}: the disk is full")
        return plan
    }

    private fun endWrite(plan: StorageFaultPlan) {
        if (plan.tearAtWrite != null) throw StorageException("cannot write ${file.name}: the write was interrupted")
        if (plan.failSyncAtWrite != null) throw StorageException("cannot sync ${file.name}: injected fault")
        isUsable = true
    }
}
