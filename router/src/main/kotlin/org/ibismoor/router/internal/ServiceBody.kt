/**
 * Body of a long answer of a plain service. Its last part is passed on when the charge is durable. If the answer
 * breaks or the charge fails, reading throws, and the connection ends without a regular end of the answer.
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
            reader.failure != null -> broken()
            reader.isWhole -> last(part)
            else -> part
        }
    }

    override fun close() {
        if (!isEnded) attempt.reportCallerLeft()
        reader.close()
    }

    private fun last(part: ByteArray): ByteArray {
        attempt.reportWhole(attempt.dispatch.costLimit, reader.status)
        conclude()
        return part
    }

    private fun broken(): ByteArray? {
        attempt.reportFailure(AttemptFailure.BROKEN_ANSWER)
        conclude()
        return null
    }

    private fun conclude() {
        isEnded = true
        if (attempt.conclude() != StreamDecision.Deliver) throw IOException("the answer is not whole or not charged")
    }
}
