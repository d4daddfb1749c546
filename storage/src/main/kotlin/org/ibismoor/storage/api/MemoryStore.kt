/**
 * An in-memory record store for processes without a disk, with fault injection for tests of modules that write records.
 * It keeps the contract of [RecordLog]: records whose append returned survive a [crash], and a log accepts no writes
 * after a failure. Not thread-safe.
 */
package org.ibismoor.storage.api

import org.ibismoor.storage.internal.MemoryLog
import org.ibismoor.storage.internal.MemoryLogFile

class MemoryStore(private var plan: StorageFaultPlan = StorageFaultPlan()) : RecordStore {
    private val files = mutableMapOf<String, MemoryLogFile>()
    private var writes = 0

    /** Total size of all logs in bytes. */
    val sizeBytes: Long get() = files.values.sumOf { it.sizeBytes }

    override fun open(name: String): OpenedLog {
        val file = files.getOrPut(name) { MemoryLogFile(name) }
        return file.open(MemoryLog(file, ::planNextWrite, ::freeBytes))
    }

    /** Replaces the fault plan; the numbering of writes continues. */
    fun inject(newPlan: StorageFaultPlan) {
        plan = newPlan
    }

    /** Simulates a process crash: open logs become unusable, and data that was not synced is lost or torn. */
    fun crash() {
        files.values.forEach(MemoryLogFile::crash)
    }

    private fun planNextWrite(): StorageFaultPlan {
        writes += 1
        return plan.copy(
            failSyncAtWrite = plan.failSyncAtWrite.takeIf { it == writes },
            tearAtWrite = plan.tearAtWrite.takeIf { it == writes },
        )
    }

    private fun freeBytes(): Long = plan.capacityBytes - sizeBytes
}
