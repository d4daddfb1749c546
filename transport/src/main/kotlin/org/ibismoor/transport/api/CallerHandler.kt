/**
 * Handles a request and may learn that the caller has left. A body that is a stream is written as it becomes
 * available; an `IOException` while it is read ends the connection without a regular end of the answer.
 */
package org.ibismoor.transport.api

import org.http4k.core.Request
import org.http4k.core.Response

fun interface CallerHandler {
    fun handle(request: Request, caller: CallerConnection): Response
}
