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

    override fun nextPart(): ByteArray? {
        if (isEnded) return null
        val part = first?.also { first = null } ?: reader.next()
        return when {
            reader.failure != null -> failAnswer()
            reader.isComplete -> completeAnswer(part)
            else -> part
        }
    }

    override fun close() {
        if (!isEnded) attempt.reportCallerDisconnect()
        reader.close()
    }

    private fun completeAnswer(part: ByteArray): ByteArray {
        attempt.reportCompletion(attempt.dispatch.costLimit, reader.status)
        finishAnswer()
        return part
    }

    private fun failAnswer(): ByteArray? {
        attempt.reportFailure(AttemptFailure.BROKEN_ANSWER)
        finishAnswer()
        return null
    }

    private fun finishAnswer() {
        isEnded = true
        val decision = attempt.awaitFinalDecision()
        if (decision != StreamDecision.DeliverAnswer) throw IOException("service answer is incomplete or not charged")
    }
}
