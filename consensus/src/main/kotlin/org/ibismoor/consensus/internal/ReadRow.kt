/**
 * A pending read. It is confirmed when a quorum has answered a broadcast of [ReadRow.round] or later.
 */
package org.ibismoor.consensus.internal

internal data class ReadRow(val read: Long, val round: Long)
