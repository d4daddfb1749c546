/**
 * A decision for the log that affects a request or changes the router's state: its kind, its request, its inputs and
 * the age of the inputs.
 */
package org.ibismoor.forwarding.api

data class Decision(val kind: DecisionKind, val callId: String?, val facts: List<Fact>)

/** An input or the outcome of a decision. */
data class Fact(val name: String, val value: Any?)

/** Kinds of decisions. The name in lower case is the `event` of a log line, so entries must not be renamed. */
enum class DecisionKind {
    REQUEST_SENT,
    REQUEST_REPEATED,
    REQUEST_QUEUED,
    REQUEST_REFUSED,
    REQUEST_ENDED,
    CALLER_LEFT,
    ATTEMPT_FAILED,
    ATTEMPT_SILENT,
    ATTEMPT_RESUMED,
    UPSTREAM_EJECTED,
    UPSTREAM_LEAVING,
    UPSTREAM_PAUSED,
    UPSTREAM_RESUMED,
    UPSTREAM_COLD,
    UPSTREAM_PACED,
    UPSTREAM_UNPACED,
    UPSTREAMS_LISTED,
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_FETCH_FAILED,
    CONTROL_LOST,
    CONTROL_REGAINED,
    ROUTER_CONTACT,
    ALLOWANCE_MOVED,
    DRAIN_STARTED,
    ENGINE_CRASHED,
    PART_QUARANTINED,
    PART_RELEASED,
    REQUEST_SUSPECTED,
    REQUEST_QUARANTINED,
    REQUEST_RELEASED,
    STREAM_CONTINUED,
    CALLERS_MOVED,
    EVACUATIONS_CHANGED,
}
