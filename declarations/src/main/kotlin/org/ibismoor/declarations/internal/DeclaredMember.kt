/**
 * A declared control replica. Its epoch is raised after its disk was lost.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId

private const val MAXIMUM_EPOCH = 1_000_000

internal data class DeclaredMember(val replica: Located<ReplicaId>, val url: Located<String>)

internal fun readMember(node: RecordNode): ParseResult<DeclaredMember> {
    val replica = node.required("replica", ReplicaType)
    val url = node.required("url", UrlType)
    return node.build(listOf(replica, url)) { DeclaredMember(replica.located, url.located) }
}

private object ReplicaType : ValueType<ReplicaId> {
    override val description = "a failure domain and an epoch from 1 on, such as norte-1.1"
    override val substitute = ReplicaId(FailureDomainId(""), 0)

    override fun parse(text: String): ReplicaId? =
        ReplicaId.parse(text)?.takeIf { it.toString() == text && isValid(it) }

    private fun isValid(replica: ReplicaId): Boolean =
        replica.epoch <= MAXIMUM_EPOCH && FailureDomainType.parse(replica.domain.text) != null
}
