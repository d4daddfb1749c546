/**
 * Identifies one control replica: its failure domain and the epoch of its data folder. A replaced disk gets the next
 * epoch, so that a replica that lost its state is never mistaken for the one that still has it. Text form:
 * `norte-1.2`.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
data class ReplicaId(val domain: FailureDomainId, val epoch: Int) : Comparable<ReplicaId> {
    override fun compareTo(other: ReplicaId): Int = compareValuesBy(this, other, { it.domain }, { it.epoch })

    override fun toString(): String = "$domain.$epoch"

    companion object {
        /** Parses the text form; null if [text] is not `<domain>.<epoch>` with a positive epoch. */
        fun parse(text: String): ReplicaId? {
            val domain = text.substringBeforeLast('.', "")
            val epoch = text.substringAfterLast('.').toIntOrNull()
            val isValid = domain.isNotEmpty() && epoch != null && epoch >= 1
            return if (isValid) ReplicaId(FailureDomainId(domain), checkNotNull(epoch)) else null
        }
    }
}
