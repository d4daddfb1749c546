/**
 * A log in one file. `replace` is atomic: it writes and syncs a new file, renames it over the old one and syncs the
 * folder.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.RecordLog
import org.ibismoor.storage.api.StorageException
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

internal class FileLog(
    private val paths: LogPaths,
    private val lock: FileChannel,
    private var channel: FileChannel,
    private var lastAppend: Long,
) : RecordLog {
    private var isUsable = true

    override var sizeBytes: Long = channel.size()
        private set

    override fun append(records: List<String>) {
        if (records.isEmpty()) return
        write(records) { bytes ->
            val size = bytes.remaining()
            writeFully(channel, bytes, sizeBytes)
            channel.force(false)
            sizeBytes += size
        }
    }

    override fun replace(records: List<String>) {
        write(records) { bytes ->
            val size = bytes.remaining().toLong()
            val replacement = writeReplacement(bytes)
            channel.close()
            channel = replacement
            sizeBytes = size
        }
    }

    private fun writeReplacement(bytes: ByteBuffer): FileChannel {
        val replacement = FileChannel.open(
            paths.replacement,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE,
        )
        return closeOnFailure(replacement) {
            writeFully(replacement, bytes, 0)
            replacement.force(true)
            Files.move(paths.replacement, paths.file, StandardCopyOption.ATOMIC_MOVE)
            syncFolder(paths.folder)
            replacement
        }
    }

    override fun close() {
        isUsable = false
        channel.close()
        lock.close()
    }

    private fun write(records: List<String>, action: (ByteBuffer) -> Unit) {
        checkUsable(isUsable, paths.file.toString())
        records.forEach { checkSize(paths.file.toString(), it) }
        val bytes = encode(paths.file.toString(), records, lastAppend + 1)
        isUsable = false
        try {
            action(bytes)
        } catch (e: IOException) {
            throw StorageException(writeFailure(bytes.capacity(), e), e)
        }
        lastAppend += 1
        isUsable = true
    }

    private fun writeFailure(bytes: Int, cause: IOException): String {
        val free = paths.folder.toFile().usableSpace
        return "cannot write $bytes bytes to ${paths.file}: ${cause.message}; $free bytes are free. " +
            "The log accepts no more records until a restart."
    }
}

private fun writeFully(channel: FileChannel, bytes: ByteBuffer, offset: Long) {
    var position = offset
    while (bytes.hasRemaining()) {
        position += channel.write(bytes, position)
    }
}

internal fun syncFolder(folder: java.nio.file.Path) {
    FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
}
