/**
 * Opens file-based logs and record stores. The log `name` is the file `name.log` in the data folder, with the lock
 * file `name.lock` next to it.
 */
package org.ibismoor.storage.api

import org.ibismoor.storage.internal.openFileLog
import java.nio.file.Path

/** Maximum size of a record in UTF-8 bytes. Large because a snapshot is stored as one record. */
const val MAXIMUM_RECORD_BYTES: Int = 128 * 1024 * 1024

/**
 * Opens or creates the log [name] in [folder]. A torn tail is truncated and reported. Throws [StorageException] if a
 * record before the tail is damaged, if the log is already open in this or another process, or if the folder cannot be
 * used.
 */
fun openRecordLog(folder: Path, name: String): OpenedLog = openFileLog(folder, name)

/** A record store with its log files in [folder]. */
fun createFileStore(folder: Path): RecordStore = RecordStore { name -> openRecordLog(folder, name) }
