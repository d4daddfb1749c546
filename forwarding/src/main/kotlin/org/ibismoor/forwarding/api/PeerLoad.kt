/**
 * Load that another router has put on an upstream: its pending prompt tokens according to its last load notice.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.Timestamp

data class PeerLoad(val pendingPromptTokens: Long, val receivedAt: Timestamp)
