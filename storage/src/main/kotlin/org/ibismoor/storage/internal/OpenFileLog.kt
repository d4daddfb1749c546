/**
 * Opens a log file: acquires its lock, reads its records and truncates a torn tail.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.OpenedLog
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.TornTail
import java.io.IOException
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** A log is read into memory as a whole, so larger files are rejected. Snapshots keep logs far smaller. */
private const val MAXIMUM_LOG_BYTES = 1L shl 30

internal fun openFileLog(folder: Path, name: String): OpenedLog {
    val paths = LogPaths(folder, name)
    return try {
        Files.createDirectories(folder)
        val lock = acquireLock(paths)
        closeOnFailure(lock) { openFile(paths, lock) }
    } catch (e: IOException) {
        throw StorageException("cannot open ${paths.file}: $e", e)
    }
}

private fun acquireLock(paths: LogPaths): FileChannel {
    val channel = FileChannel.open(paths.lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
    closeOnFailure(channel) {
        if (tryLock(paths, channel) == null) {
            throw StorageException("${paths.file} is in use by another process; stop that process first")
        }
    }
    return channel
}

private fun tryLock(paths: LogPaths, channel: FileChannel): FileLock? =
    try {
        channel.tryLock()
    } catch (e: OverlappingFileLockException) {
        throw StorageException("${paths.file} is already in use by this process; close that log first", e)
    }

private fun openFile(paths: LogPaths, lock: FileChannel): OpenedLog {
    Files.deleteIfExists(paths.replacement)
    val channel = FileChannel.open(
        paths.file,
        StandardOpenOption.CREATE,
        StandardOpenOption.READ,
        StandardOpenOption.WRITE,
    )
    return closeOnFailure(channel) { readLog(paths, lock, channel) }
}

private fun readLog(paths: LogPaths, lock: FileChannel, channel: FileChannel): OpenedLog {
    syncFolder(paths.folder)
    val size = channel.size()
    if (size > MAXIMUM_LOG_BYTES) throw StorageException("${paths.file} is larger than $MAXIMUM_LOG_BYTES bytes")
    val content = readContent(paths.file.toString(), Files.readAllBytes(paths.file))
    val tornTail = truncateTornTail(paths, channel, content.end.toLong(), size)
    return OpenedLog(FileLog(paths, lock, channel, content.lastAppend), content.records, tornTail)
}

private fun truncateTornTail(paths: LogPaths, channel: FileChannel, end: Long, size: Long): TornTail? =
    if (end == size) {
        null
    } else {
        channel.truncate(end)
        channel.force(true)
        TornTail(paths.file.toString(), end, size - end)
    }
