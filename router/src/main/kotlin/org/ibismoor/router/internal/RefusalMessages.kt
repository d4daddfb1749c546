/**
 * A sentence for each refusal reason, for people who read errors. Programs use the code.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.RefusalReason

private val messages = mapOf(
    RefusalReason.MALFORMED_REQUEST to "The request is malformed.",
    RefusalReason.UNAUTHENTICATED to "The API key is not known.",
    RefusalReason.BUDGET_EXHAUSTED to "The prepaid budget does not cover the request.",
    RefusalReason.SHARE_EXHAUSTED to "The share of the budget in this failure domain does not cover the request.",
    RefusalReason.UNKNOWN_ROUTE to "No route or rule covers this call.",
    RefusalReason.UNKNOWN_MODEL to "The model is not known.",
    RefusalReason.UNKNOWN_BUDGET to "The budget of the API key is not known.",
    RefusalReason.ALREADY_RAN to "The request with this key has run.",
    RefusalReason.CLAIMED to "Another attempt with this key may run or have run the request.",
    RefusalReason.IN_PROGRESS to "Another attempt with this key is under way.",
    RefusalReason.REQUEST_TOO_LARGE to "The request or its answer bound is too large.",
    RefusalReason.KEY_REUSED to "The key was used for another request.",
    RefusalReason.KEY_EXPIRED to "The key is too old.",
    RefusalReason.RERUN_LIMIT to "The request was run again too often.",
    RefusalReason.RATE_LIMITED to "The organisation sends requests faster than its limit.",
    RefusalReason.QUEUE_FULL to "Too many requests wait.",
    RefusalReason.QUEUE_DEADLINE to "The request could not be started in time.",
    RefusalReason.NO_UPSTREAM to "No upstream is available.",
    RefusalReason.RETRY_BUDGET_EXHAUSTED to "The attempt failed and too many others are being repeated.",
    RefusalReason.UPSTREAM_FAILED to "The upstream failed.",
    RefusalReason.UPSTREAM_TIMEOUT to "The upstream did not answer in time.",
    RefusalReason.CROSSED_ANSWER to "The upstream gave the answer to another request.",
    RefusalReason.INCOMPLETE_ANSWER to "The answer of the upstream broke off.",
    RefusalReason.RESERVATION_REACHED to "The answer reached the amount that could be reserved for it.",
    RefusalReason.SESSION_EXPIRED to "The router lost contact with the control process that holds the reservation.",
    RefusalReason.LEDGER_UNAVAILABLE to "No control process can be reached.",
    RefusalReason.QUORUM_UNAVAILABLE to "The control processes have no quorum.",
    RefusalReason.HOME_UNAVAILABLE to "The control process that the key names cannot be reached.",
    RefusalReason.STORAGE_UNAVAILABLE to "The control process cannot store reservations.",
    RefusalReason.DRAINING to "The router is shutting down.",
    RefusalReason.NOT_READY to "The router has no configuration yet.",
    RefusalReason.CANCELLED to "The caller left.",
    RefusalReason.INTERNAL_ERROR to "The router failed.",
)

internal fun messageOf(reason: RefusalReason): String = messages[reason] ?: reason.code
