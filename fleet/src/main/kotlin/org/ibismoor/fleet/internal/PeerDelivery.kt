/**
 * Delivers messages about shares: to this replica itself as a message of the next pass, to others as an effect.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.consensus.api.status
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.PeerMessage
import org.ibismoor.fleet.api.PeerMessageReceived
import org.ibismoor.fleet.api.SendPeerMessage

internal fun deliver(control: ControlTables, to: ReplicaId, message: PeerMessage): Translation =
    when (to) {
        control.replica -> Translation.message(PeerMessageReceived(control.replica, message))
        else -> Translation.effect(SendPeerMessage(to, message))
    }

/** Without a known leader the message is dropped; the sender repeats its request when its timer is due. */
internal fun deliverToLeader(control: ControlTables, message: PeerMessage): Translation =
    control.consensus.status().leader?.let { deliver(control, it, message) } ?: Translation.NONE
