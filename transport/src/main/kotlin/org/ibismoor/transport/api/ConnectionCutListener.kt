/**
 * Observes the connections of callers that end without a whole answer. Called on the threads of the server, so it must
 * not block.
 */
package org.ibismoor.transport.api

fun interface ConnectionCutListener {
    fun onCut(cut: ConnectionCut)
}
