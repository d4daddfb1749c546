/**
 * Reads the answer of a service in parts. After each part it checks for the end of the body, so that the last part is
 * recognised before it is forwarded.
 */
package org.ibismoor.router.internal

import okio.Buffer
import org.ibismoor.routing.api.AttemptFailure
import java.io.IOException
import java.io.InterruptedIOException

private const val PART_BYTES = 64L * 1024

internal class ServiceReader(private val answer: UpstreamAnswer) : AutoCloseable {
    val status: Int get() = answer.status

    /** Whether the complete body was received. */
    var isComplete: Boolean = false
        private set

    /** Why the answer failed; null if it has not. */
    var failure: AttemptFailure? = null
        private set

    /** The next part, of full size unless it is the last one. At the end it sets [isComplete] or [failure]. */
    fun next(): ByteArray {
        val part = Buffer()
        try {
            while (part.size < PART_BYTES && !answer.source.exhausted()) {
                answer.source.read(part, PART_BYTES - part.size)
            }
            isComplete = answer.isDelimited && answer.source.exhausted()
            if (!isComplete && answer.source.exhausted()) failure = AttemptFailure.NO_ANSWER
        } catch (_: InterruptedIOException) {
            failure = AttemptFailure.TIMEOUT
        } catch (_: IOException) {
            failure = AttemptFailure.NO_ANSWER
        }
        return part.readByteArray()
    }

    override fun close() = if (isComplete) answer.close() else answer.abort()
}
