/**
 * Encodes commands and snapshots of the replicated log as JSON.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationCommand
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.gateway.internal.InternalJson

internal object JsonCoordinationCodec : CoordinationCodec {
    override fun writeCommand(command: CoordinationCommand): String = InternalJson.encodeToString(command)

    override fun readCommand(text: String): CoordinationCommand = InternalJson.decodeFromString(text)

    override fun writeState(state: CoordinationState): String = InternalJson.encodeToString(state)

    override fun readState(text: String): CoordinationState = InternalJson.decodeFromString(text)
}
