/**
 * Where the upstreams of one request may be: outside the evacuated failure domains, and in a region that each list of
 * allowed regions contains. The selections of both front ends share this predicate.
 */
package org.ibismoor.core.api

data class AllowedPlaces(
    val evacuated: Collection<FailureDomainId> = emptyList(),
    /** Region of each failure domain. */
    val regions: Map<FailureDomainId, RegionId> = emptyMap(),
    /** An empty list allows any region. */
    val allowedRegions: List<Set<RegionId>> = emptyList(),
) {
    /** True if no place is excluded. */
    val isUnlimited: Boolean get() = evacuated.isEmpty() && allowedRegions.all { it.isEmpty() }

    fun isEvacuated(domain: FailureDomainId): Boolean = domain in evacuated

    /** A failure domain whose region is not known is in no allowed region. */
    fun isInAllowedRegion(domain: FailureDomainId): Boolean =
        allowedRegions.all { it.isEmpty() || regions[domain] in it }

    fun allows(domain: FailureDomainId): Boolean = !isEvacuated(domain) && isInAllowedRegion(domain)
}
