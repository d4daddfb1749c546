/**
 * Where the other control replicas are reached: the declared members, and before there are any, the peers of the
 * settings.
 */
package org.ibismoor.control.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.ControlTables

internal class PeerAddresses(private val peers: Map<ReplicaId, String>) {
    fun of(replica: ReplicaId, tables: ControlTables): String? =
        tables.fleet.configuration.controlMembers[replica]?.baseUrl ?: peers[replica]

    /** All known addresses, without [ControlTables.replica] itself. */
    fun others(tables: ControlTables): Map<ReplicaId, String> =
        (peers + tables.fleet.configuration.controlMembers.mapValues { it.value.baseUrl }) - tables.replica
}
