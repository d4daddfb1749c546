/**
 * Reads the answer of a plain service in parts. It looks one part ahead, so that the last part is known as such before
 * it is passed on.
 */
package org.ibismoor.router.internal

import okio.Buffer
import org.ibismoor.routing.api.AttemptFailure
import java.io.IOException
import java.io.InterruptedIOException

private const val PART_BYTES = 64L * 1024

internal class ServiceReader(private val answer: UpstreamAnswer) : AutoCloseable {
    val status: Int get() = answer.status

    /** The whole body was received. */
    var isWhole: Boolean = false
        private set

    /** Why the answer broke, if it did. */
    var failure: AttemptFailure? = null
        private set

    /** The next part, full unless it is the last one; after it, [isWhole] or [failure] may be set. */
    fun next(): ByteArray {
        val part = Buffer()
        try {
            while (part.size < PART_BYTES && !answer.source.exhausted()) {
                answer.source.read(part, PART_BYTES - part.size)
            }
            isWhole = answer.isDelimited && answer.source.exhausted()
            if (!isWhole && answer.source.exhausted()) failure = AttemptFailure.NO_ANSWER
        } catch (_: InterruptedIOException) {
            failure = AttemptFailure.TIMEOUT
        } catch (_: IOException) {
            failure = AttemptFailure.NO_ANSWER
        }
        return part.readByteArray()
    }

    override fun close() = if (isWhole) answer.close() else answer.abort()
}
