/**
 * A published configuration: its version, the operator's document, and the budget of each organisation that the
 * document limits. The document is opaque to this module; routers parse it.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.OrganisationId

@Serializable
data class PublishedConfiguration(
    val version: Long,
    val document: String,
    /** Total prepaid tokens of each organisation. An organisation without an entry has no limit. */
    val budgets: Map<OrganisationId, Long>,
)
