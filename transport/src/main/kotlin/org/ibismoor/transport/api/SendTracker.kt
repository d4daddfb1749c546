/**
 * Records whether any byte of a request was written. A caller attaches it to the request as a tag; the client sets it.
 */
package org.ibismoor.transport.api

class SendTracker {
    @Volatile
    var isSent: Boolean = false
        internal set
}
