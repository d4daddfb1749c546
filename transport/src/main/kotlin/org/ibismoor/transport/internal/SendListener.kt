/**
 * Sets the [SendTracker] of a call when OkHttp starts to write its request.
 */
package org.ibismoor.transport.internal

import okhttp3.Call
import okhttp3.EventListener
import org.ibismoor.transport.api.SendTracker

internal object SendListener : EventListener() {
    override fun requestHeadersStart(call: Call) {
        call.request().tag(SendTracker::class.java)?.isSent = true
    }
}
