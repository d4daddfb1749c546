/**
 * Sends messages between the control processes of a scenario.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.ControlMessage

internal fun endpointOf(world: World, domain: FailureDomainId): Endpoint = world.replicas.getValue(domain).endpoint

internal fun replicaIdOf(world: World, domain: FailureDomainId): ReplicaId = world.replicas.getValue(domain).replica

internal fun sendToReplica(world: World, from: FailureDomainId, to: ReplicaId, message: ControlMessage): World =
    world.send(endpointOf(world, from), endpointOf(world, to.domain), ReplicaMessageDue(to, message))
