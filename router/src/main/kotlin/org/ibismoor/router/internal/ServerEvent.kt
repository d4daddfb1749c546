/**
 * A server-sent event, with its data lines joined by line feeds.
 */
package org.ibismoor.router.internal

internal data class ServerEvent(val data: String) {
    fun encode(): ByteArray = data.lineSequence().joinToString("\n", postfix = "\n\n") { "data: $it" }.toByteArray()

    companion object {
        /** Data of the event that ends a complete answer. */
        const val TERMINATOR = "[DONE]"
    }
}
