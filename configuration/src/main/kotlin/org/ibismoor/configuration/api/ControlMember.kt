/**
 * A declared control replica and the base URL at which the processes of the fleet reach it.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
data class ControlMember(val replica: ReplicaId, val baseUrl: String)
