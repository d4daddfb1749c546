/**
 * Parts in which [ChatReader] delivers an engine's answer.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.AttemptFailure

internal sealed interface ChatPart {
    /** Content to forward immediately. */
    data class Content(val event: ServerEvent) : ChatPart

    /** The answer is complete. [heldEvents] are its last events from the finishing chunk on, without the terminator. */
    data class End(val heldEvents: List<ServerEvent>, val usage: ChatUsage) : ChatPart

    /** The answer ended early, timed out, exceeded its limits or is malformed. */
    data class Broken(val failure: AttemptFailure) : ChatPart
}
