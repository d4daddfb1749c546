/**
 * Name of an organisation: the customer whose prepaid budgets pay for requests.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class OrganisationId(val text: String) : Comparable<OrganisationId> {
    override fun compareTo(other: OrganisationId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
