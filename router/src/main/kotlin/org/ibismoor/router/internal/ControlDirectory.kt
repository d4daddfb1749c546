/**
 * Addresses of the control processes by their domain: those of the settings and, for a domain that was published after
 * the router started, those of the configuration.
 */
package org.ibismoor.router.internal

import org.ibismoor.configuration.api.ControlMember
import org.ibismoor.core.api.FailureDomainId

internal class ControlDirectory(
    private val settings: Map<FailureDomainId, String>,
    private val published: () -> Collection<ControlMember>,
) {
    /** Null if a later configuration has removed the domain. */
    fun urlOf(domain: FailureDomainId): String? = settings[domain] ?: publishedUrlOf(domain)

    /** While a disk is replaced, a domain may have two epochs; the later one answers. */
    private fun publishedUrlOf(domain: FailureDomainId): String? =
        published().filter { it.replica.domain == domain }.maxByOrNull { it.replica.epoch }?.baseUrl?.trimEnd('/')
}
