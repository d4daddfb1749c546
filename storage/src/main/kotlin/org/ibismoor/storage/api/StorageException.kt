/**
 * Thrown if a write or sync fails, or if stored data cannot be read. The message names the file.
 */
package org.ibismoor.storage.api

class StorageException(message: String, cause: Throwable? = null) : Exception(message, cause)
