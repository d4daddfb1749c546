/**
 * Reads the records of a log file up to its end or its torn tail.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.StorageException
import java.nio.ByteBuffer

/**
 * The valid records, the offset behind the last of them, and the number of the last whole append. An append that was
 * cut in the middle gives its number to the next one, so that the place of a bad record in its append stays known.
 */
internal data class LogContent(val records: List<String>, val end: Int, val append: Long)

internal fun readContent(file: String, bytes: ByteArray): LogContent {
    val buffer = ByteBuffer.wrap(bytes)
    val records = generateSequence(decode(buffer, 0)) { decode(buffer, it.end) }.toList()
    val last = records.lastOrNull()
    val end = last?.end ?: 0
    val wholeAppend = if (last == null || last.following == 0) last?.append ?: 0 else last.append - 1
    checkTail(file, buffer, end, wholeAppend + 1)
    return LogContent(records.map { it.text }, end, wholeAppend)
}

private fun checkTail(file: String, buffer: ByteBuffer, end: Int, damagedAppend: Long) {
    val later = (end until buffer.limit()).firstOrNull { start ->
        val record = decode(buffer, start)
        record != null && record.append > damagedAppend
    }
    if (later != null) {
        throw StorageException(
            "$file is damaged at offset $end: a later record at offset $later is whole. " +
                "Replace this replica with the next epoch, or restore the file.",
        )
    }
}
