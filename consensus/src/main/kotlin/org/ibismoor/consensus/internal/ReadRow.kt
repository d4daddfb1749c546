/**
 * A read that is confirmed once a quorum has answered a broadcast of [round] or later.
 */
package org.ibismoor.consensus.internal

internal data class ReadRow(val read: Long, val round: Long)
