/**
 * Statuses of answers by what they say of the request.
 */
package org.ibismoor.soak.internal

internal const val OK = 200
internal const val MISDIRECTED_REQUEST = 421
internal const val SERVICE_UNAVAILABLE = 503
internal const val PAYMENT_REQUIRED = 402
private const val FIRST_REDIRECT = 300
private const val BAD_REQUEST = 400
private const val UNAUTHORIZED = 401
private const val NOT_FOUND = 404
private const val REQUEST_TIMEOUT = 408
private const val TOO_MANY_REQUESTS = 429
private const val FIRST_SERVER_ERROR = 500
private const val BAD_GATEWAY = 502
private const val GATEWAY_TIMEOUT = 504

/** Statuses that say that the request has not run and will not run. */
internal val NOT_RUN_STATUSES = setOf(REQUEST_TIMEOUT, MISDIRECTED_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE)

/** Ends after which the request may have run; null stands for a connection that ended before a status. */
internal val UNCERTAIN_STATUSES = setOf(null, FIRST_SERVER_ERROR, BAD_GATEWAY, GATEWAY_TIMEOUT)

/** Refusals that a retry does not change. */
internal val FINAL_REFUSAL_STATUSES = setOf(BAD_REQUEST, UNAUTHORIZED, PAYMENT_REQUIRED, NOT_FOUND)

internal fun isSuccess(status: Int?): Boolean = status in OK until FIRST_REDIRECT

internal fun isNotRun(status: Int?): Boolean = status in NOT_RUN_STATUSES

/** The status says that the request itself is wrong. */
internal fun isRefusedAsWrong(status: Int?): Boolean =
    status in FIRST_REDIRECT until FIRST_SERVER_ERROR && status != PAYMENT_REQUIRED && !isNotRun(status)
