/**
 * Priority of a request, highest first.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
enum class Priority(val text: String) {
    @SerialName("live")
    LIVE("live"),

    @SerialName("normal")
    NORMAL("normal"),

    @SerialName("batch")
    BATCH("batch"),
}
