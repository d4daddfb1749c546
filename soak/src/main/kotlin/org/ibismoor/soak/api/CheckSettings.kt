/**
 * Limits of the checks. Those of the fleet come from the `bounds` in the settings of its processes, so that a check
 * holds the fleet to what was promised and not to what it happens to reach.
 */
package org.ibismoor.soak.api

data class CheckSettings(
    /** Processes that keep the configuration. A fault on one of them suspends the time limits of all processes. */
    val core: Set<ProcessName>,
    /** Time without a fault after which time limits hold for a process. */
    val stabilityWindowMillis: Long,
    /** Time from the confirmation of a configuration until the whole fleet follows it. */
    val configurationApplyMillis: Long,
    /** Time for which an answer with an older configuration may cross one with a newer version. */
    val rollbackSlackMillis: Long,
    /** Time from the notice that an upstream is leaving until it gets no more work. */
    val drainMillis: Long,
    /** Time after the end of a request until its tokens are charged and the rest of its reservation is free. */
    val settleMillis: Long,
    /** Time after the last fault until the fleet serves again. */
    val recoveryMillis: Long,
    /** Longest time from the sending of a request to the end of its answer. */
    val answerMillis: Long = 15_000,
    val retryBudget: RetryBudgetLimits,
    val quarantine: QuarantineLimits = QuarantineLimits(),
    /** Longest time by which an observation of one process may follow a later observation of another. */
    val observationDelayMillis: Long = 500,
    /** Time after its end for which a request is remembered, to catch a run that begins late. */
    val requestRetentionMillis: Long = 60_000,
) {
    init {
        require(requestRetentionMillis > maxOf(settleMillis, observationDelayMillis)) { "requests expire too early" }
    }
}

/**
 * In every window, a service may get [ratio] times the requests for it plus [slack] repeated arrivals.
 */
data class RetryBudgetLimits(val ratio: Double, val slack: Double, val windowMillis: Long)

/** When a prompt part that crashes upstreams has to be quarantined. */
data class QuarantineLimits(
    /** Crashes at different moments from which the part can be told from the other parts of its prompts. */
    val crashes: Int = 3,
    /** Answers on other prompts that have to begin after the first crash. */
    val otherAnswers: Int = 10,
    /** Time from the last of these events until no router sends the part any more. */
    val delayMillis: Long = 3_000,
    /** Interval at which a single request may probe whether the part still crashes upstreams. */
    val probeIntervalMillis: Long = 60_000,
)
