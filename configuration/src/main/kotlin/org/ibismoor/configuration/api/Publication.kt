/**
 * An accepted publication: its number and the digest of the whole published content.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable

@Serializable
data class Publication(val number: ConfigurationNumber, val digest: String)
