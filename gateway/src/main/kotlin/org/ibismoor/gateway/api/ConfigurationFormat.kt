/**
 * Parses the documents in which operators publish configurations.
 */
package org.ibismoor.gateway.api

import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.core.api.Finding
import org.ibismoor.forwarding.api.ForwardingConfiguration

interface ConfigurationFormat {
    /** Validates [document]. The result is the configuration or all findings. */
    fun check(document: String): CheckedConfiguration

    /** Parses a [document] that passed [check]. Throws `IllegalArgumentException` if it is invalid. */
    fun read(document: String): ForwardingConfiguration
}

sealed interface CheckedConfiguration

data class ValidConfiguration(val configuration: PublishedConfiguration) : CheckedConfiguration

data class InvalidConfiguration(val findings: List<Finding>) : CheckedConfiguration
