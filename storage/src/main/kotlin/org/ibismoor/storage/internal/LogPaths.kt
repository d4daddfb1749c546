/**
 * Paths of the files of one log: the log, its lock, and the replacement that is written before it is renamed.
 */
package org.ibismoor.storage.internal

import org.ibismoor.storage.api.StorageException
import java.nio.file.Path

private val NAME = Regex("[a-z0-9][a-z0-9-]{0,63}")

internal class LogPaths(val folder: Path, name: String) {
    val file: Path
    val replacement: Path
    val lock: Path

    init {
        if (!NAME.matches(name)) throw StorageException("invalid log name \"$name\": use 1 to 64 of a-z, 0-9 and -")
        file = folder.resolve("$name.log")
        replacement = folder.resolve("$name.log.new")
        lock = folder.resolve("$name.lock")
    }
}
