/**
 * A part of an engine's answer as the router deals with it.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.AttemptFailure

internal sealed interface ChatPart {
    /** Content that is passed on at once. */
    data class Content(val event: ServerEvent) : ChatPart

    /** The whole answer is here. [held] is its end, from the chunk that finishes it, without the terminator. */
    data class End(val held: List<ServerEvent>, val usage: ChatUsage) : ChatPart

    /** The answer broke off or makes no sense. */
    data class Broken(val failure: AttemptFailure) : ChatPart
}
