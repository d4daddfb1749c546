/**
 * Prompt tokens that another router has sent to an upstream and that it had still to read when that router said so.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.Timestamp

data class PeerUse(val pendingPromptTokens: Long, val at: Timestamp)
