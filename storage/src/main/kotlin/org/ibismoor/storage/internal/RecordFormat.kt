/**
 * File format of logs: each record is a header followed by its text in UTF-8. The header holds a marker that cannot
 * occur in UTF-8, the length of the text in bytes, the number of the append, the number of records that follow in the
 * same append, and the CRC-32C of all other header fields and the text. Integers are big-endian.
 *
 * Each append is synced before the next begins, so an interrupted write can only damage records of the last append. An
 * invalid record followed by a valid record of a later append is therefore damage, not a torn tail.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.MAXIMUM_RECORD_BYTES
import org.ibismoor.storage.api.StorageException
import java.nio.ByteBuffer
import java.util.zip.CRC32C

private const val MARKER = 0xF5_49_52_FF.toInt()
internal const val HEADER_BYTES = 24
private const val CHECKSUM_OFFSET = 20

/** A decoded record: its text, its end offset, its append, and the number of records that follow in that append. */
internal data class ReadRecord(val text: String, val end: Int, val append: Long, val following: Int)

internal fun recordBytes(record: String): Long = HEADER_BYTES + record.toByteArray().size.toLong()

internal fun checkSize(file: String, record: String) {
    if (recordBytes(record) - HEADER_BYTES > MAXIMUM_RECORD_BYTES) {
        throw StorageException("cannot write $file: a record is larger than $MAXIMUM_RECORD_BYTES bytes")
    }
}

internal fun checkUsable(isUsable: Boolean, file: String) {
    if (!isUsable) throw StorageException("$file accepts no records: it is closed or an earlier write failed")
}

internal fun checkTotalBytes(file: String, total: Long) {
    if (total > Int.MAX_VALUE) {
        throw StorageException("cannot write $file: $total bytes at once exceed the limit of ${Int.MAX_VALUE}")
    }
}

internal fun encode(file: String, records: List<String>, append: Long): ByteBuffer {
    val texts = records.map { it.toByteArray() }
    val total = texts.sumOf { HEADER_BYTES + it.size.toLong() }
    checkTotalBytes(file, total)
    val buffer = ByteBuffer.allocate(total.toInt())
    texts.forEachIndexed { index, text -> putRecord(buffer, text, append, texts.size - 1 - index) }
    return buffer.flip()
}

private fun putRecord(buffer: ByteBuffer, text: ByteArray, append: Long, following: Int) {
    val start = buffer.position()
    buffer.putInt(MARKER).putInt(text.size).putLong(append).putInt(following).putInt(0).put(text)
    buffer.putInt(start + CHECKSUM_OFFSET, checksum(buffer, start, text.size))
}

private fun checksum(buffer: ByteBuffer, start: Int, length: Int): Int {
    val crc = CRC32C()
    crc.update(buffer.array(), start, CHECKSUM_OFFSET)
    crc.update(buffer.array(), start + HEADER_BYTES, length)
    return crc.value.toInt()
}

/** The record at [start], or null if it is incomplete or invalid. [buffer] must be backed by an array. */
internal fun decode(buffer: ByteBuffer, start: Int): ReadRecord? {
    val isHeaderValid = buffer.limit() - start >= HEADER_BYTES && buffer.getInt(start) == MARKER
    val length = if (isHeaderValid) buffer.getInt(start + Int.SIZE_BYTES) else -1
    val isComplete = length in 0..MAXIMUM_RECORD_BYTES && length <= buffer.limit() - start - HEADER_BYTES
    return if (isComplete && buffer.getInt(start + CHECKSUM_OFFSET) == checksum(buffer, start, length)) {
        ReadRecord(
            text = String(buffer.array(), start + HEADER_BYTES, length, Charsets.UTF_8),
            end = start + HEADER_BYTES + length,
            append = buffer.getLong(start + 2 * Int.SIZE_BYTES),
            following = buffer.getInt(start + 2 * Int.SIZE_BYTES + Long.SIZE_BYTES),
        )
    } else {
        null
    }
}
