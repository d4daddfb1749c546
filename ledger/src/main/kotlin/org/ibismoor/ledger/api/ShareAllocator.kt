/**
 * Creates the share allocator, which runs at the leader of the replicated log. It distributes new grants at once,
 * issues tokens from the pool for the needs of replicas, and reclaims tokens from replicas with a surplus. Every issue
 * is a command that the state machine of the log checks.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.TickMachine
import org.ibismoor.ledger.internal.ShareAllocatorMachine

fun createShareAllocator(policy: ShareSizingPolicy): TickMachine<ShareTables, ShareMessage, ShareEffect> =
    ShareAllocatorMachine(policy)
