/**
 * An effect of one part in terms of the whole replica: effects for the process and messages for other parts.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage

internal data class Translation(
    val effects: List<ControlEffect> = emptyList(),
    val messages: List<ControlMessage> = emptyList(),
) {
    companion object {
        val NONE: Translation = Translation()

        fun effect(effect: ControlEffect): Translation = Translation(effects = listOf(effect))

        fun message(message: ControlMessage): Translation = Translation(messages = listOf(message))
    }
}
