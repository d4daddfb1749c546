/**
 * A snapshot on its way to a peer, which has its first [offset] characters. The next part is sent at [due].
 */
package org.ibismoor.consensus.internal

import org.ibismoor.core.api.Timestamp

internal data class OutgoingSnapshot(val snapshot: SnapshotRow, val offset: Int, val due: Timestamp)
