/**
 * Content of one in-memory log: its synced records, and the records and bytes that survive an interrupted append.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.OpenedLog
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.TornTail

internal class MemoryLogFile(val name: String) {
    var syncedRecords: List<String> = emptyList()
    var survivingRecords: List<String> = emptyList()
    var tornBytes: Long = 0
    private var openLog: MemoryLog? = null

    val sizeBytes: Long get() = syncedRecords.sumOf { recordBytes(it) }

    fun open(log: MemoryLog): OpenedLog {
        if (openLog != null) throw StorageException("log $name is already open")
        openLog = log
        val tornTail = if (tornBytes > 0) TornTail(name, sizeBytes, tornBytes) else null
        tornBytes = 0
        return OpenedLog(log, syncedRecords, tornTail)
    }

    fun release(log: MemoryLog) {
        if (openLog === log) openLog = null
    }

    fun crash() {
        openLog?.markUnusable()
        openLog = null
        syncedRecords = syncedRecords + survivingRecords
        survivingRecords = emptyList()
    }
}
