/**
 * Human-readable messages of the refusal reasons. Programs rely on the code instead.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.RefusalReason

private val messages = mapOf(
    RefusalReason.MALFORMED_REQUEST to "The request is malformed.",
    RefusalReason.UNAUTHENTICATED to "The API key is unknown.",
    RefusalReason.BUDGET_EXHAUSTED to "The prepaid budget does not cover the request.",
    RefusalReason.SHARE_EXHAUSTED to "The share of the budget in this failure domain does not cover the request.",
    RefusalReason.UNKNOWN_ROUTE to "No route or rule matches this call.",
    RefusalReason.UNKNOWN_MODEL to "The model is unknown.",
    RefusalReason.UNKNOWN_BUDGET to "The budget of the API key is unknown.",
    RefusalReason.ALREADY_RAN to "The request with this key has already run.",
    RefusalReason.CLAIMED to "Another attempt with this key may run or have run the request.",
    RefusalReason.IN_PROGRESS to "Another attempt with this key is in progress.",
    RefusalReason.REQUEST_TOO_LARGE to "The request or its answer bound is too large.",
    RefusalReason.KEY_REUSED to "The key was used for another request.",
    RefusalReason.KEY_EXPIRED to "The idempotency key has expired.",
    RefusalReason.RERUN_LIMIT to "The request has reached its rerun limit.",
    RefusalReason.RATE_LIMITED to "The organisation sends requests faster than its limit.",
    RefusalReason.QUEUE_FULL to "The request queue is full.",
    RefusalReason.QUEUE_DEADLINE to "The request could not be started in time.",
    RefusalReason.NO_UPSTREAM to "No upstream is available.",
    RefusalReason.UNKNOWN_STREAM to "No process knows which software version began the stream.",
    RefusalReason.VERSION_GONE to "No upstream has the software version that began the stream.",
    RefusalReason.EVACUATED to "All upstreams are in failure domains that are evacuated.",
    RefusalReason.REGION_NOT_ALLOWED to "No upstream is in a region that the route and the organisation allow.",
    RefusalReason.REQUEST_QUARANTINED to "The request has crashed upstreams and is not sent to them for now.",
    RefusalReason.PROMPT_QUARANTINED to "A part of the prompt has crashed engines and is not sent to them for now.",
    RefusalReason.RETRY_BUDGET_EXHAUSTED to "The attempt failed and too many other requests are being retried.",
    RefusalReason.UPSTREAM_FAILED to "The upstream failed.",
    RefusalReason.UPSTREAM_TIMEOUT to "The upstream did not answer in time.",
    RefusalReason.CROSSED_ANSWER to "The upstream returned the answer to another request.",
    RefusalReason.INCOMPLETE_ANSWER to "The answer of the upstream ended early.",
    RefusalReason.RESERVATION_REACHED to "The answer reached the amount that could be reserved for it.",
    RefusalReason.SESSION_EXPIRED to "The router lost contact with the control process that holds the reservation.",
    RefusalReason.LEDGER_UNAVAILABLE to "No control process can be reached.",
    RefusalReason.QUORUM_UNAVAILABLE to "The control processes have no quorum.",
    RefusalReason.HOME_UNAVAILABLE to "The control process named in the idempotency key cannot be reached.",
    RefusalReason.STORAGE_UNAVAILABLE to "The control process cannot store reservations.",
    RefusalReason.DRAINING to "The router is shutting down.",
    RefusalReason.NOT_READY to "The router has no configuration yet.",
    RefusalReason.CONFIGURATION_OUTDATED to "The router lacks a newer configuration that may allow the request.",
    RefusalReason.CANCELLED to "The caller disconnected.",
    RefusalReason.INTERNAL_ERROR to "The router encountered an internal error.",
)

internal fun messageOf(reason: RefusalReason): String = messages[reason] ?: reason.code
