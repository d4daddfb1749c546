/**
 * Body of a long answer of a service. Its last part is forwarded when the charge is durable. If the answer or the
 * charge fails, reading throws, so that the connection closes without completing the answer.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.transport.api.PartStream
import java.io.IOException

internal class ServiceBody(
    private val reader: ServiceReader,
    first: ByteArray,
    private val attempt: Attempt,
) : PartStream() {
    private var first: ByteArray? = first
    private var isEnded = false
    private var isLastPartWritten = false

    override fun nextPart(): ByteArray? {
        if (isEnded) {
            isLastPartWritten = true
            return null
        }
        val part = first?.also { first = null } ?: reader.next()
        return when {
            reader.failure != null -> failAnswer()
            reader.isComplete -> completeAnswer(part)
            else -> part.also { attempt.trace.countEvent() }
        }
    }

    override fun close() {
        when {
            !isEnded -> attempt.reportCallerDisconnect()
            !isLastPartWritten -> attempt.trace.reportUnwritten()
        }
        reader.close()
    }

    private fun completeAnswer(part: ByteArray): ByteArray {
        attempt.reportCompletion(attempt.dispatch.costLimit, reader.status)
        finishAnswer(AnswerCuts.CHARGE)
        return part
    }

    private fun failAnswer(): ByteArray? {
        attempt.reportFailure(AttemptFailure.BROKEN_ANSWER)
        finishAnswer(checkNotNull(reader.failure).code)
        return null
    }

    private fun finishAnswer(detail: String) {
        isEnded = true
        val decision = attempt.awaitEndOfAnswer(detail)
        if (decision != StreamDecision.DeliverAnswer) throw IOException("service answer is incomplete or not charged")
    }
}
