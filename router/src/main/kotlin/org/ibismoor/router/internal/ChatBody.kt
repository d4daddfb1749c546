/**
 * Body of a streamed chat completion: content as it arrives, then, when the charge is durable, the held end and the
 * terminator. If the answer breaks or the charge fails, it ends with an error event and no terminator.
 */
package org.ibismoor.router.internal

import org.ibismoor.transport.api.PartStream

internal class ChatBody(
    private val reader: ChatReader,
    first: ChatPart,
    private val attempt: Attempt,
    private val refusals: Refusals,
) : PartStream() {
    private var first: ChatPart? = first
    private var isEnded = false

    override fun nextPart(): ByteArray? {
        if (isEnded) return null
        return when (val part = first?.also { first = null } ?: reader.next()) {
            is ChatPart.Content -> part.event.encode()
            is ChatPart.End -> end(part)
            is ChatPart.Broken -> broken(part)
        }
    }

    override fun close() {
        if (!isEnded) attempt.reportCallerLeft()
        reader.close()
    }

    private fun end(part: ChatPart.End): ByteArray {
        attempt.reportWhole(part.usage.cost, ChatFlow.SUCCESS)
        val events = part.held + ServerEvent(ServerEvent.TERMINATOR)
        return conclusion { events.map { it.encode() }.reduce(ByteArray::plus) }
    }

    private fun broken(part: ChatPart.Broken): ByteArray {
        attempt.reportFailure(part.failure)
        return conclusion { ByteArray(0) }
    }

    private fun conclusion(whole: () -> ByteArray): ByteArray {
        isEnded = true
        return when (val decision = attempt.conclude()) {
            is StreamDecision.Reject -> refusals.event(decision.refuse)
            StreamDecision.Deliver -> whole()
        }
    }
}
