/**
 * A log of a memory store.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.RecordLog
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.StorageFaultPlan

internal class MemoryLog(
    private val file: MemoryLogFile,
    private val nextWrite: () -> StorageFaultPlan,
    private val freeBytes: () -> Long,
) : RecordLog {
    private var isUsable = true

    override val sizeBytes: Long get() = file.sizeBytes

    override fun append(records: List<String>) {
        val plan = beginWrite(records, freeBytes())
        if (plan.tearAt != null) {
            file.survivors = records.take(plan.keptRecords)
            file.tornBytes = records.drop(plan.keptRecords).take(1).sumOf { recordBytes(it) / 2 }
        }
        endWrite(plan)
        file.synced = file.synced + records
    }

    /** An interrupted replacement leaves the old content. */
    override fun replace(records: List<String>) {
        val plan = beginWrite(records, freeBytes())
        endWrite(plan)
        file.synced = records
    }

    override fun close() {
        isUsable = false
        file.release(this)
    }

    fun fail() {
        isUsable = false
    }

    private fun beginWrite(records: List<String>, free: Long): StorageFaultPlan {
        checkUsable(isUsable, file.name)
        records.forEach { checkSize(file.name, it) }
        val plan = nextWrite()
        isUsable = false
        val size = records.sumOf { recordBytes(it) }
        if (size > free) throw StorageException("cannot write $size bytes to ${file.name}: the disk is full")
        return plan
    }

    private fun endWrite(plan: StorageFaultPlan) {
        if (plan.tearAt != null) throw StorageException("cannot write ${file.name}: the write was interrupted")
        if (plan.failSyncAt != null) throw StorageException("cannot sync ${file.name}: injected fault")
        isUsable = true
    }
}
