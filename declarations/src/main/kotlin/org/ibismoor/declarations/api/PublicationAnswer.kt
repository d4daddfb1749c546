/**
 * Answer of a control process to a publication.
 */
package org.ibismoor.declarations.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.Finding

@Serializable
sealed interface PublicationAnswer

/** The set is durable at the quorum under [number], now or since an earlier publication of the same content. */
@Serializable
@SerialName("accepted")
data class PublicationAccepted(val number: Long, val digest: String) : PublicationAnswer

/** The set has faults. */
@Serializable
@SerialName("rejected")
data class PublicationRejected(val findings: List<Finding>) : PublicationAnswer

/**
 * The number is used by other content or is below the current one, or the content breaks a publication rule.
 * [winner] is the number of the publication that takes precedence, with its digest in [winnerDigest] if that is known.
 */
@Serializable
@SerialName("conflict")
data class PublicationConflicting(
    val winner: Long,
    val winnerDigest: String? = null,
    val problem: String,
) : PublicationAnswer

/** This process is not the leader and appended nothing. [leader] is the leader's base URL, if it is known. */
@Serializable
@SerialName("not_leader")
data class PublicationMisdirected(val leader: String? = null) : PublicationAnswer

/** It is not known whether the set was accepted. Sending the same set under the same number again is safe. */
@Serializable
@SerialName("unknown")
data object PublicationOpen : PublicationAnswer
