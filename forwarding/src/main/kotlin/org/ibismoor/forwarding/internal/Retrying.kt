/**
 * Conditions for another attempt of a request.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow

/** Limit of attempts of which no byte was sent, for each request. */
private const val MAXIMUM_UNSENT_ATTEMPTS = 4

/** A request with less time left than this is not retried. */
private const val MINIMUM_RETRY_MILLIS = 40L

/** True if the route, the time left and the retry budget allow another attempt of [request]. */
internal fun ForwardingTables.canRetry(request: RequestRow, now: Timestamp, settings: ForwardingSettings): Boolean =
    request.triedUpstreams.size < request.route.maximumAttempts &&
        request.unsentAttempts < MAXIMUM_UNSENT_ATTEMPTS &&
        request.dueAt - now >= MINIMUM_RETRY_MILLIS &&
        (request.triedUpstreams.isEmpty() || hasRetryBudget(request.group, settings))

/** An upstream that has received no byte does not count towards the route's limit of attempts. */
internal fun RequestRow.withoutUnsentAttempt(): RequestRow =
    copy(triedUpstreams = triedUpstreams.removeAt(triedUpstreams.lastIndex), unsentAttempts = unsentAttempts + 1)
