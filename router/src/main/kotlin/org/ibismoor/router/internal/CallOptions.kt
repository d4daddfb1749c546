/**
 * What the headers of a caller's request say about how it is to be handled. [deadlineMillis] is counted from its
 * arrival.
 */
package org.ibismoor.router.internal

import org.http4k.core.Request
import org.ibismoor.configuration.api.Priority

private const val LONGEST_KEY = 256
private const val LONGEST_DEADLINE_MILLIS = 86_400_000L
private val keyCharacters = '!'..'~'

internal data class CallOptions(val idempotencyKey: String?, val priority: Priority?, val deadlineMillis: Long?) {
    companion object {
        fun of(request: Request): Parsed<CallOptions> =
            keyOf(request).then { key ->
                priorityOf(request).then { priority ->
                    deadlineOf(request).then { Parsed.Value(CallOptions(key, priority, it)) }
                }
            }

        private fun keyOf(request: Request): Parsed<String?> {
            val key = request.header(CallerHeaders.IDEMPOTENCY_KEY) ?: return Parsed.Value(null)
            val isValid = key.length in 1..LONGEST_KEY && key.all { it in keyCharacters }
            return if (isValid) {
                Parsed.Value(key)
            } else {
                Parsed.Malformed("${CallerHeaders.IDEMPOTENCY_KEY} must have 1 to $LONGEST_KEY visible characters")
            }
        }

        private fun priorityOf(request: Request): Parsed<Priority?> {
            val text = request.header(CallerHeaders.PRIORITY) ?: return Parsed.Value(null)
            val priority = Priority.entries.firstOrNull { it.text == text }
            return if (priority == null) {
                Parsed.Malformed("${CallerHeaders.PRIORITY} must be live, normal or batch")
            } else {
                Parsed.Value(priority)
            }
        }

        private fun deadlineOf(request: Request): Parsed<Long?> {
            val text = request.header(CallerHeaders.DEADLINE) ?: return Parsed.Value(null)
            val millis = text.toLongOrNull()?.takeIf { it in 1..LONGEST_DEADLINE_MILLIS }
            return if (millis == null) {
                Parsed.Malformed("${CallerHeaders.DEADLINE} must be 1 to $LONGEST_DEADLINE_MILLIS milliseconds")
            } else {
                Parsed.Value(millis)
            }
        }
    }
}
