/**
 * Number of a publication. Numbers only grow; 0 means that nothing was published yet.
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
