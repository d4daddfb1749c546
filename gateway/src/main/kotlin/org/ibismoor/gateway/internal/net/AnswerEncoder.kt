/**
 * Encodes answers to callers. An answer to HEAD has the headers of the full answer but no body.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

internal class AnswerEncoder : HttpResponseEncoder() {
    /** True if the current request is HEAD. Set before each answer on the event loop of the connection. */
    var isHeadRequest: Boolean = false

    override fun isContentAlwaysEmpty(msg: HttpResponse): Boolean = isHeadRequest || super.isContentAlwaysEmpty(msg)
}
