/**
 * Message to the state machine that a request has ended. [tokens] counts the chunks with content that arrived.
 */
package org.ibismoor.bench.load.internal

internal data class RequestEnded(val number: Long, val code: String, val tokens: Long) {
    companion object {
        const val COMPLETE = "whole"
        const val INCOMPLETE = "incomplete"
        const val UNREACHABLE = "unreachable"
    }
}
