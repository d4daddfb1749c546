/**
 * Name of a failure domain: a set of VMs that fail or lose their network connection together.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class FailureDomainId(val text: String) : Comparable<FailureDomainId> {
    override fun compareTo(other: FailureDomainId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
