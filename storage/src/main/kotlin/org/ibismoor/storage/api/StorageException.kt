/**
 * The disk refused a write or a sync, or holds data that cannot be read. The message names the file.
 */
package org.ibismoor.storage.api

class StorageException(message: String, cause: Throwable? = null) : Exception(message, cause)
