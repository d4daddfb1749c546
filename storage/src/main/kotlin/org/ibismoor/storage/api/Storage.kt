/**
 * Opens logs in files and makes record stores. A log `name` is the file `name.log` in the data folder, beside its lock
 * file `name.lock`.
 */
package org.ibismoor.storage.api

import org.ibismoor.storage.internal.openFileLog
import java.nio.file.Path

/** Largest record in bytes of UTF-8. A snapshot is one record. */
const val MAXIMUM_RECORD_BYTES: Int = 128 * 1024 * 1024

/**
 * Opens or creates the log [name] in [folder]. A torn tail is cut and reported. Throws [StorageException] if a record
 * before the tail is damaged, if another process or this one has the log open, or if the folder cannot be used.
 */
fun openRecordLog(folder: Path, name: String): OpenedLog = openFileLog(folder, name)

/** Logs in files of [folder]. */
fun createFileStore(folder: Path): RecordStore = RecordStore { name -> openRecordLog(folder, name) }
