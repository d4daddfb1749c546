/**
 * Reasons for which the fleet refuses or fails a request. The code appears in error bodies and as a metric label.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
enum class RefusalReason(val code: String) {
    MALFORMED_REQUEST("malformed_request"),
    UNAUTHENTICATED("unauthenticated"),
    BUDGET_EXHAUSTED("budget_exhausted"),
    SHARE_EXHAUSTED("share_exhausted"),
    UNKNOWN_ROUTE("unknown_route"),
    UNKNOWN_MODEL("unknown_model"),
    UNKNOWN_BUDGET("unknown_budget"),
    ALREADY_RAN("already_ran"),
    CLAIMED("claimed"),
    IN_PROGRESS("in_progress"),
    REQUEST_TOO_LARGE("request_too_large"),
    KEY_REUSED("key_reused"),
    KEY_EXPIRED("key_expired"),
    RERUN_LIMIT("rerun_limit"),
    RATE_LIMITED("rate_limited"),
    QUEUE_FULL("queue_full"),
    QUEUE_DEADLINE("queue_deadline"),
    NO_MEMORY("no_memory"),
    NO_UPSTREAM("no_upstream"),
    UNKNOWN_STREAM("unknown_stream"),
    VERSION_GONE("version_gone"),
    EVACUATED("evacuated"),
    REGION_NOT_ALLOWED("region_not_allowed"),
    PROMPT_QUARANTINED("prompt_quarantined"),
    REQUEST_QUARANTINED("request_quarantined"),
    RETRY_BUDGET_EXHAUSTED("retry_budget_exhausted"),
    UPSTREAM_FAILED("upstream_failed"),
    UPSTREAM_TIMEOUT("upstream_timeout"),
    CROSSED_ANSWER("crossed_answer"),
    INCOMPLETE_ANSWER("incomplete_answer"),
    RESERVATION_REACHED("reservation_reached"),
    SESSION_EXPIRED("session_expired"),
    LEDGER_UNAVAILABLE("ledger_unavailable"),
    QUORUM_UNAVAILABLE("quorum_unavailable"),
    HOME_UNAVAILABLE("home_unavailable"),
    STORAGE_UNAVAILABLE("storage_unavailable"),
    DRAINING("draining"),
    NOT_READY("not_ready"),
    CONFIGURATION_OUTDATED("configuration_outdated"),
    CANCELLED("cancelled"),
    INTERNAL_ERROR("internal_error"),
}
