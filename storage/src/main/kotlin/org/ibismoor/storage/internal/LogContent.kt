/**
 * Reads the records of a log file up to its end or its torn tail.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.StorageException
import java.nio.ByteBuffer

/**
 * The valid records, the end offset of the last of them, and the number of the last complete append. The number of a
 * truncated append is used again by the next one, so that a damaged record can still be assigned to its append.
 */
internal data class LogContent(val records: List<String>, val end: Int, val lastAppend: Long)

internal fun readContent(file: String, bytes: ByteArray): LogContent {
    val buffer = ByteBuffer.wrap(bytes)
    val records = generateSequence(decode(buffer, 0)) { decode(buffer, it.end) }.toList()
    val last = records.lastOrNull()
    val end = last?.end ?: 0
    val lastAppend = if (last == null || last.following == 0) last?.append ?: 0 else last.append - 1
    checkNoLaterRecord(file, buffer, end, lastAppend + 1)
    return LogContent(records.map { it.text }, end, lastAppend)
}

private fun checkNoLaterRecord(file: String, buffer: ByteBuffer, end: Int, damagedAppend: Long) {
    val later = (end until buffer.limit()).firstOrNull { start ->
        val record = decode(buffer, start)
        record != null && record.append > damagedAppend
    }
    if (later != null) {
        throw StorageException(
            "$file is damaged at offset $end: a valid record of a later append follows at offset $later. " +
                "Replace this replica with the next epoch, or restore the file.",
        )
    }
}
