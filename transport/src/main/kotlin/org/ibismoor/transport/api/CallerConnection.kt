/**
 * The connection on which a request arrived, as far as its handler may care.
 */
package org.ibismoor.transport.api

interface CallerConnection {
    /**
     * Runs [action] once if the caller closes the connection before the answer is complete, at once if it has done so.
     * It runs on a thread of the server and must not block.
     */
    fun onClosed(action: () -> Unit)
}
