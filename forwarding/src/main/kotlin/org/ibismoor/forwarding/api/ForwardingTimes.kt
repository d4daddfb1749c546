/**
 * Times of a router's decisions, in milliseconds.
 */
package org.ibismoor.forwarding.api

private const val REPORT_MILLIS = 400L
private const val ANSWER_MARGIN_MILLIS = 20L
private const val ALLOWANCE_WAIT_MILLIS = 250L
private const val LOAN_WAIT_MILLIS = 40L
private const val ELECTION_WAIT_MILLIS = 900L
private const val TELL_MILLIS = 5L
private const val ASK_MILLIS = 10L
private const val RETRY_AFTER_MILLIS = 250L
private const val START_MILLIS = 1_000L
private const val ELSEWHERE_MILLIS = 40L
private const val ELECTION_MILLIS = 1_700L
private const val EJECTION_MILLIS = 1_000L
private const val LONGEST_EJECTION_MILLIS = 8_000L
private const val STALL_MILLIS = 1_000L
private const val FIRST_EVENT_MILLIS = 1_500L
private const val ANSWER_MILLIS = 500L

data class ForwardingTimes(
    /** Time between reports to the leader. */
    val reportMillis: Long = REPORT_MILLIS,
    /** A request is given up this long before its caller stops waiting, so that the answer still arrives. */
    val answerMarginMillis: Long = ANSWER_MARGIN_MILLIS,
    /** How long a request waits for tokens that the router has asked for. */
    val allowanceWaitMillis: Long = ALLOWANCE_WAIT_MILLIS,
    /** The same while control processes cannot be reached and only other routers may lend some. */
    val loanWaitMillis: Long = LOAN_WAIT_MILLIS,
    /** The same at a router on the VM of a control process, where a silent leader means an election at first. */
    val electionWaitMillis: Long = ELECTION_WAIT_MILLIS,
    /** A leader that is silent for longer is not replaced but cut off from this router. */
    val electionMillis: Long = ELECTION_MILLIS,
    /** Prompts sent within this time are told to other routers in one message. */
    val tellMillis: Long = TELL_MILLIS,
    /** Shortest time between two reports that ask for tokens of waiting requests. */
    val askMillis: Long = ASK_MILLIS,
    /** When a caller should come back after a refusal. */
    val retryAfterMillis: Long = RETRY_AFTER_MILLIS,
    /** The same while the router has no configuration yet: how long it takes from a start to the leader's answer. */
    val startMillis: Long = START_MILLIS,
    /** The same after a refusal by a router that is cut off from control, since other routers can serve at once. */
    val elsewhereMillis: Long = ELSEWHERE_MILLIS,
    /** The first ejection of an upstream; each further one is twice as long. */
    val ejectionMillis: Long = EJECTION_MILLIS,
    val longestEjectionMillis: Long = LONGEST_EJECTION_MILLIS,
    /** A repeatable stream without an event for this long is taken to another upstream. */
    val stallTimeoutMillis: Long = STALL_MILLIS,
    /** The same before its first event. */
    val firstEventMillis: Long = FIRST_EVENT_MILLIS,
    /** A repeatable request without an answer for this long is taken to another upstream. */
    val answerMillis: Long = ANSWER_MILLIS,
)
