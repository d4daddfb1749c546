/**
 * Encodes commands and state as text for the replicated log, which is opaque to the consensus. Decoding text that the
 * same version did not write throws `IllegalArgumentException`.
 */
package org.ibismoor.coordination.api

interface CoordinationCodec {
    fun writeCommand(command: CoordinationCommand): String

    fun readCommand(text: String): CoordinationCommand

    fun writeState(state: CoordinationState): String

    fun readState(text: String): CoordinationState
}
