/**
 * The connection of a request, as seen by its handler.
 */
package org.ibismoor.transport.api

interface CallerConnection {
    /**
     * Runs [action] once if the caller closes the connection before the answer is complete, immediately if it already
     * has. The action runs on a thread of the server and must not block.
     */
    fun onClosed(action: () -> Unit)
}
