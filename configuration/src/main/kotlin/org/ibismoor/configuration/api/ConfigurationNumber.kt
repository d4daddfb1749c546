/**
 * Number of a publication. Each publication has a higher number than the one before; 0 means that there is none yet.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class ConfigurationNumber(val value: Long) : Comparable<ConfigurationNumber> {
    override fun compareTo(other: ConfigurationNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        val NONE: ConfigurationNumber = ConfigurationNumber(0)
    }
}
