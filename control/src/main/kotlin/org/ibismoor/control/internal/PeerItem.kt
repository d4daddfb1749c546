/**
 * One message of a [PeerBatch].
 */
package org.ibismoor.control.internal

import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.fleet.api.PeerMessage

internal sealed interface PeerItem

internal data class ConsensusItem(val message: ConsensusMessage) : PeerItem

internal data class SharesItem(val message: PeerMessage) : PeerItem
