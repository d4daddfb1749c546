/**
 * Closes a resource if its first use fails, so that its owner does not have to.
 */
package org.ibismoor.storage.internal

/** The result of [action], which takes over [resource]; closes it if [action] throws. */
internal inline fun <T> closeOnFailure(resource: AutoCloseable, action: () -> T): T {
    var isDone = false
    try {
        val result = action()
        isDone = true
        return result
    } finally {
        if (!isDone) resource.close()
    }
}
