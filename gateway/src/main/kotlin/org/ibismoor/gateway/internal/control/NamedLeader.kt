/**
 * The leader in an answer to a join request or a leader query. It has the fields of a replica, so that processes that
 * know no age read it as one.
 */
package org.ibismoor.gateway.internal.control

import kotlinx.serialization.Serializable
import org.ibismoor.coordination.api.JoinAnswered
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId

@Serializable
internal data class NamedLeader(val domain: FailureDomainId, val epoch: Int, val ageMillis: Long = 0)

internal fun namedLeader(answer: JoinAnswered): NamedLeader? =
    answer.leader?.let { NamedLeader(it.domain, it.epoch, answer.ageMillis) }

/** The time of the call is added: otherwise a name that goes round between processes would stay young. */
internal fun NamedLeader?.toMessage(callMillis: Long): JoinAnswered =
    if (this == null) JoinAnswered(null) else JoinAnswered(ReplicaId(domain, epoch), ageMillis + callMillis)
