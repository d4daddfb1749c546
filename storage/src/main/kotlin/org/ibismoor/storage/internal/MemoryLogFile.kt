/**
 * Content of one log of a memory store: synced records, and what a failed write left behind.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.OpenedLog
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.TornTail

internal class MemoryLogFile(val name: String) {
    var synced: List<String> = emptyList()
    var survivors: List<String> = emptyList()
    var tornBytes: Long = 0
    private var openLog: MemoryLog? = null

    val sizeBytes: Long get() = synced.sumOf { recordBytes(it) }

    fun open(log: MemoryLog): OpenedLog {
        if (openLog != null) throw StorageException("log $name is already open")
        openLog = log
        val cut = if (tornBytes > 0) TornTail(name, sizeBytes, tornBytes) else null
        tornBytes = 0
        return OpenedLog(log, synced, cut)
    }

    fun release(log: MemoryLog) {
        if (openLog === log) openLog = null
    }

    fun crash() {
        openLog?.fail()
        openLog = null
        synced = synced + survivors
        survivors = emptyList()
    }
}
