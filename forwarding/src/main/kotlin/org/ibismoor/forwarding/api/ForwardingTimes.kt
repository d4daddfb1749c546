/**
 * Intervals and timeouts of a router's decisions, in milliseconds.
 */
package org.ibismoor.forwarding.api

private const val REPORT_INTERVAL_MILLIS = 400L
private const val ANSWER_MARGIN_MILLIS = 20L
private const val MAXIMUM_ALLOWANCE_WAIT_MILLIS = 250L
private const val MAXIMUM_LOAN_WAIT_MILLIS = 40L
private const val MAXIMUM_ELECTION_WAIT_MILLIS = 900L
private const val LOAD_NOTICE_DELAY_MILLIS = 5L
private const val MAXIMUM_ORIGIN_WAIT_MILLIS = 900L
private const val MAXIMUM_PEER_ORIGIN_WAIT_MILLIS = 60L
private const val STREAM_REPORT_MILLIS_PER_ROUTER = 5L
private const val LEAVING_USE_MILLIS = 1_000L
private const val ALLOWANCE_REQUEST_INTERVAL_MILLIS = 10L
private const val FETCH_RETRY_MILLIS = 100L
private const val MAXIMUM_CONFIGURATION_AGE_MILLIS = 2_000L
private const val RETRY_AFTER_MILLIS = 250L
private const val START_RETRY_AFTER_MILLIS = 1_000L
private const val OTHER_ROUTER_RETRY_AFTER_MILLIS = 40L
private const val PLACE_RETRY_AFTER_MILLIS = 1_000L
private const val ROOM_CHECK_INTERVAL_MILLIS = 20L
private const val MAXIMUM_DRAIN_MILLIS = 7_600L
private const val MAXIMUM_ELECTION_MILLIS = 1_700L
private const val FIRST_EJECTION_MILLIS = 1_000L
private const val MAXIMUM_EJECTION_MILLIS = 8_000L
private const val MAXIMUM_PAUSE_MILLIS = 300_000L
private const val RESUMPTION_MILLIS = 1_000L
private const val STALL_TIMEOUT_MILLIS = 1_000L
private const val FIRST_EVENT_TIMEOUT_MILLIS = 1_500L
private const val ANSWER_TIMEOUT_MILLIS = 500L

data class ForwardingTimes(
    /** Interval of reports to the leader. */
    val reportIntervalMillis: Long = REPORT_INTERVAL_MILLIS,
    /** A request is refused this long before its caller's deadline, so that the refusal still arrives in time. */
    val answerMarginMillis: Long = ANSWER_MARGIN_MILLIS,
    /** Longest time for which a request waits for requested tokens. */
    val maximumAllowanceWaitMillis: Long = MAXIMUM_ALLOWANCE_WAIT_MILLIS,
    /** The same while no control process can be reached and only other routers can lend tokens. */
    val maximumLoanWaitMillis: Long = MAXIMUM_LOAN_WAIT_MILLIS,
    /** The same on the VM of a control process, where an unreachable leader is at first taken to mean an election. */
    val maximumElectionWaitMillis: Long = MAXIMUM_ELECTION_WAIT_MILLIS,
    /** Longest election. A leader without contact for longer is taken to be separated from this router. */
    val maximumElectionMillis: Long = MAXIMUM_ELECTION_MILLIS,
    /** Longest time for which a request waits to learn where its stream began: the time of an election. */
    val maximumOriginWaitMillis: Long = MAXIMUM_ORIGIN_WAIT_MILLIS,
    /** The same while no control process can be reached and only other routers can answer. */
    val maximumPeerOriginWaitMillis: Long = MAXIMUM_PEER_ORIGIN_WAIT_MILLIS,
    /** Interval of reports on begun streams, for each router of the fleet: bounds the leader's work. */
    val streamReportMillisPerRouter: Long = STREAM_REPORT_MILLIS_PER_ROUTER,
    /**
     * An upstream that is leaving may end streams of its version for this long. It is a third of the time for which
     * the platform lets it serve, since the list reaches routers with a delay.
     */
    val leavingUseMillis: Long = LEAVING_USE_MILLIS,
    /** Prompts sent within this time share one load notice to the other routers. */
    val loadNoticeDelayMillis: Long = LOAD_NOTICE_DELAY_MILLIS,
    /** Minimum interval of reports that request tokens for waiting requests. */
    val allowanceRequestIntervalMillis: Long = ALLOWANCE_REQUEST_INTERVAL_MILLIS,
    /** Delay after the first failed fetch of a configuration; it doubles with each further one. */
    val fetchRetryMillis: Long = FETCH_RETRY_MILLIS,
    /**
     * A router whose last contact with the leader is older may lack a configuration that it has to follow already, so
     * it no longer refuses unknown routes and keys for good.
     */
    val maximumConfigurationAgeMillis: Long = MAXIMUM_CONFIGURATION_AGE_MILLIS,
    /** When a caller should retry after a refusal. */
    val retryAfterMillis: Long = RETRY_AFTER_MILLIS,
    /** The same before the router has a configuration: the time from its start to the leader's first answer. */
    val startRetryAfterMillis: Long = START_RETRY_AFTER_MILLIS,
    /** The same if another router can serve at once: without contact with the control processes, or in a drain. */
    val otherRouterRetryAfterMillis: Long = OTHER_ROUTER_RETRY_AFTER_MILLIS,
    /** Queued requests are looked at again after this time, since a reported load loses weight with its age. */
    val roomCheckIntervalMillis: Long = ROOM_CHECK_INTERVAL_MILLIS,
    /**
     * The same if no upstream is in a place that may get the request: an operator's order changes that, which takes
     * seconds.
     */
    val placeRetryAfterMillis: Long = PLACE_RETRY_AFTER_MILLIS,
    /**
     * The process exits this long after the start of a drain, even with open requests. Requests that arrive in a drain
     * and may last longer are refused.
     */
    val maximumDrainMillis: Long = MAXIMUM_DRAIN_MILLIS,
    /** Duration of the first ejection of an upstream; it doubles with each further one. */
    val firstEjectionMillis: Long = FIRST_EJECTION_MILLIS,
    val maximumEjectionMillis: Long = MAXIMUM_EJECTION_MILLIS,
    /** Bound on a pause that an upstream asks for, so that a wrong value does not take it out of use for good. */
    val maximumPauseMillis: Long = MAXIMUM_PAUSE_MILLIS,
    /** Time after a pause in which the requests in flight at the upstream may rise from one to its slots. */
    val resumptionMillis: Long = RESUMPTION_MILLIS,
    /** A retryable stream without an event for this long is also sent to another upstream. */
    val stallTimeoutMillis: Long = STALL_TIMEOUT_MILLIS,
    /** The same before the first event. */
    val firstEventTimeoutMillis: Long = FIRST_EVENT_TIMEOUT_MILLIS,
    /** A retryable request without an answer for this long is also sent to another upstream. */
    val answerTimeoutMillis: Long = ANSWER_TIMEOUT_MILLIS,
)
