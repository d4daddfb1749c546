/**
 * A codec for tests that keeps commands and states in lists and encodes them as their indices.
 */
package org.ibismoor.coordination

import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationCommand
import org.ibismoor.coordination.api.CoordinationState

internal class TextCodec : CoordinationCodec {
    private val commands = mutableListOf<CoordinationCommand>()
    private val states = mutableListOf<CoordinationState>()

    override fun writeCommand(command: CoordinationCommand): String = "${commands.size}".also { commands += command }

    override fun readCommand(text: String): CoordinationCommand = commands[text.toInt()]

    override fun writeState(state: CoordinationState): String = "${states.size}".also { states += state }

    override fun readState(text: String): CoordinationState = states[text.toInt()]
}
