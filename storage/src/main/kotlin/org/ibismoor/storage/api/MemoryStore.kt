/**
 * Logs in memory with injected faults, for tests of modules that write records. It keeps the contract of [RecordLog]:
 * what an append returned for survives [crash], and a log accepts nothing after a failure. It is used by one thread.
 */
package org.ibismoor.storage.api

import org.ibismoor.storage.internal.MemoryLog
import org.ibismoor.storage.internal.MemoryLogFile

class MemoryStore(private var plan: StorageFaultPlan = StorageFaultPlan()) : RecordStore {
    private val files = mutableMapOf<String, MemoryLogFile>()
    private var writes = 0

    /** Bytes in all logs. */
    val sizeBytes: Long get() = files.values.sumOf { it.sizeBytes }

    override fun open(name: String): OpenedLog {
        val file = files.getOrPut(name) { MemoryLogFile(name) }
        return file.open(MemoryLog(file, ::nextWrite, ::freeBytes))
    }

    /** Replaces the plan; the count of writes goes on. */
    fun inject(next: StorageFaultPlan) {
        plan = next
    }

    /** Kills the process: open logs are closed, and data that was not synced is lost or torn. */
    fun crash() {
        files.values.forEach(MemoryLogFile::crash)
    }

    private fun nextWrite(): StorageFaultPlan {
        writes += 1
        return plan.copy(
            failSyncAt = plan.failSyncAt.takeIf { it == writes },
            tearAt = plan.tearAt.takeIf { it == writes },
        )
    }

    private fun freeBytes(): Long = plan.capacityBytes - sizeBytes
}
