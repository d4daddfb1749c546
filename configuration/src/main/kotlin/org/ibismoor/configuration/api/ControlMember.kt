/**
 * A declared control replica and the base URL at which other processes of the fleet connect to it.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
data class ControlMember(val replica: ReplicaId, val baseUrl: String)
