/**
 * Makes the share allocator that runs beside the leader of the replicated log. It issues new grants at once, answers
 * needs from the pool, and asks replicas with a surplus to give part of it back. It holds no authority: every issue
 * is a command that the log checks.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.TickMachine
import org.ibismoor.ledger.internal.ShareAllocatorMachine

fun createShareAllocator(policy: ShareSizingPolicy): TickMachine<ShareTables, ShareMessage, ShareEffect> =
    ShareAllocatorMachine(policy)
