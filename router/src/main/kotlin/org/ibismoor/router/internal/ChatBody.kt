/**
 * Body of a streamed chat completion. Content is forwarded as it arrives; the final events and the terminator follow
 * when the charge is durable. If the answer or the charge fails, it ends with an error event and no terminator.
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
    private var isLastPartWritten = false

    override fun nextPart(): ByteArray? {
        if (isEnded) {
            isLastPartWritten = true
            return null
        }
        return when (val part = first?.also { first = null } ?: reader.next()) {
            is ChatPart.Content -> part.event.encode().also { attempt.trace.countEvent() }
            is ChatPart.End -> completeAnswer(part)
            is ChatPart.Broken -> failAnswer(part)
        }
    }

    override fun close() {
        when {
            !isEnded -> attempt.reportCallerDisconnect()
            !isLastPartWritten -> attempt.trace.reportUnwritten()
        }
        reader.close()
    }

    private fun completeAnswer(part: ChatPart.End): ByteArray {
        attempt.reportCompletion(part.usage.cost, ChatForwarder.SUCCESS)
        val events = part.heldEvents + ServerEvent(ServerEvent.TERMINATOR)
        return finishStream(AnswerCuts.CHARGE) { events.map { it.encode() }.reduce(ByteArray::plus) }
    }

    private fun failAnswer(part: ChatPart.Broken): ByteArray {
        attempt.reportFailure(part.failure)
        return finishStream(part.failure.code) { ByteArray(0) }
    }

    private fun finishStream(detail: String, finalBytes: () -> ByteArray): ByteArray {
        isEnded = true
        return when (val decision = attempt.awaitEndOfAnswer(detail)) {
            is StreamDecision.SendRefusal -> refusals.errorEvent(decision.refusal)
            StreamDecision.DeliverAnswer -> finalBytes()
        }
    }
}
