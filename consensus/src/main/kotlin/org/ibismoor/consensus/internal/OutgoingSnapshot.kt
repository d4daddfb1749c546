/**
 * A snapshot transfer to a peer, which has received the first [OutgoingSnapshot.offset] characters.
 * The next part is sent at [OutgoingSnapshot.due].
 */
package org.ibismoor.consensus.internal

import org.ibismoor.core.api.Timestamp

internal data class OutgoingSnapshot(val snapshot: SnapshotRow, val offset: Int, val due: Timestamp)
