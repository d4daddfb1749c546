/**
 * Handles a request and can observe that the caller disconnects. A streamed body is written as it becomes available; an
 * `IOException` while it is read closes the connection without completing the answer.
 */
package org.ibismoor.transport.api

import org.http4k.core.Request
import org.http4k.core.Response

fun interface CallerHandler {
    fun handle(request: Request, caller: CallerConnection): Response
}
