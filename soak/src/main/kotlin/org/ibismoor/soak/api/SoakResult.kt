/**
 * What a soak ended with.
 */
package org.ibismoor.soak.api

data class SoakResult(
    /** The fleet began to serve in time. */
    val hasServed: Boolean,
    val violations: List<Violation>,
    /** How often each guarantee was put to the test, and its violations, as text. */
    val report: String,
    val requests: Int,
    /** Complete answers by status; null stands for requests without a complete answer. */
    val answers: Map<Int?, Int>,
    /** Processes that ended although nothing asked them to. */
    val unexpectedEnds: List<ProcessEnded>,
) {
    val verdict: Verdict
        get() = when {
            violations.isNotEmpty() -> Verdict.VIOLATED
            !hasServed -> Verdict.NOT_SERVED
            else -> Verdict.CLEAN
        }
}

enum class Verdict { CLEAN, VIOLATED, NOT_SERVED }
