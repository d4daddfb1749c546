/**
 * Options that a caller sets by request headers. [deadlineMillis] is counted from the arrival of the request.
 */
package org.ibismoor.router.internal

import org.http4k.core.Request
import org.ibismoor.configuration.api.Priority

private const val MAXIMUM_KEY_LENGTH = 256
private const val MAXIMUM_DEADLINE_MILLIS = 86_400_000L
private val continuationHeaders = listOf(HeaderNames.LAST_EVENT_ID, HeaderNames.RESUMES)
private val keyCharacters = '!'..'~'

internal data class CallOptions(val idempotencyKey: String?, val priority: Priority?, val deadlineMillis: Long?) {
    companion object {
        fun of(request: Request): Parsed<CallOptions> =
            rejectContinuation(request) ?: parseKey(request).flatMap { key ->
                parsePriority(request).flatMap { priority ->
                    parseDeadline(request).flatMap { Parsed.Value(CallOptions(key, priority, it)) }
                }
            }

        /** The router does not know which software version began a stream, and only that one may go on with it. */
        private fun rejectContinuation(request: Request): Parsed.Malformed? =
            continuationHeaders.firstOrNull { name -> request.headers.any { it.first.equals(name, ignoreCase = true) } }
                ?.let { Parsed.Malformed("$it is not supported: send the request without it, it then runs anew") }

        private fun parseKey(request: Request): Parsed<String?> {
            val key = request.header(HeaderNames.IDEMPOTENCY_KEY) ?: return Parsed.Value(null)
            val isValid = key.length in 1..MAXIMUM_KEY_LENGTH && key.all { it in keyCharacters }
            return if (isValid) {
                Parsed.Value(key)
            } else {
                Parsed.Malformed("${HeaderNames.IDEMPOTENCY_KEY} must have 1 to $MAXIMUM_KEY_LENGTH visible characters")
            }
        }

        private fun parsePriority(request: Request): Parsed<Priority?> {
            val text = request.header(HeaderNames.PRIORITY) ?: return Parsed.Value(null)
            val priority = Priority.entries.firstOrNull { it.text == text }
            return if (priority == null) {
                Parsed.Malformed("${HeaderNames.PRIORITY} must be live, normal or batch")
            } else {
                Parsed.Value(priority)
            }
        }

        private fun parseDeadline(request: Request): Parsed<Long?> {
            val text = request.header(HeaderNames.DEADLINE) ?: return Parsed.Value(null)
            val millis = text.toLongOrNull()?.takeIf { it in 1..MAXIMUM_DEADLINE_MILLIS }
            return if (millis == null) {
                Parsed.Malformed("${HeaderNames.DEADLINE} must be 1 to $MAXIMUM_DEADLINE_MILLIS milliseconds")
            } else {
                Parsed.Value(millis)
            }
        }
    }
}
