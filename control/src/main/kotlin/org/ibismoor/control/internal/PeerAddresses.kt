/**
 * Base URLs of the other control replicas. Those of the declared members take precedence over the peers in the
 * settings.
 */
package org.ibismoor.control.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.ControlTables

internal class PeerAddresses(private val peers: Map<ReplicaId, String>) {
    fun urlOf(replica: ReplicaId, tables: ControlTables): String? =
        tables.fleet.configuration.controlMembers[replica]?.baseUrl ?: peers[replica]

    /** Does not include [ControlTables.replica] itself. */
    fun otherUrls(tables: ControlTables): Map<ReplicaId, String> =
        (peers + tables.fleet.configuration.controlMembers.mapValues { it.value.baseUrl }) - tables.replica
}
