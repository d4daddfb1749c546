/**
 * Tells whether any byte of a call's request was written. Put it on a request as a tag and the client's events set it.
 */
package org.ibismoor.transport.api

class SendTracker {
    @Volatile
    var isSent: Boolean = false
        internal set
}
