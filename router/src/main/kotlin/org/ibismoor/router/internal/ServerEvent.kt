/**
 * One event of a stream of server-sent events: the joined data lines, and the event as it is passed on.
 */
package org.ibismoor.router.internal

internal data class ServerEvent(val data: String) {
    fun encode(): ByteArray = data.lineSequence().joinToString("\n", postfix = "\n\n") { "data: $it" }.toByteArray()

    companion object {
        /** Ends a whole answer. */
        const val TERMINATOR = "[DONE]"
    }
}
