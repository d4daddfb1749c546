/**
 * An outcome that a trace expects: a metric of the production policy compared with the same metric of a baseline.
 */
package org.ibismoor.bench.replay.internal

import kotlinx.serialization.Serializable

private const val PERCENT = 100.0

/** The bound is [percent] of the baseline's value: a lower bound if a high value of [metric] is good, else an upper. */
@Serializable
internal data class Expectation(val metric: Metric, val baseline: String, val percent: Int) {
    fun isMet(ours: Score, baselineScore: Score): Boolean {
        val bound = metric.of(baselineScore) * percent / PERCENT
        return if (metric.isHighGood) metric.of(ours) >= bound else metric.of(ours) <= bound
    }

    override fun toString(): String {
        val relation = if (metric.isHighGood) "at least" else "at most"
        return "${metric.name.lowercase()} of ours is $relation $percent% of that of $baseline"
    }
}

@Serializable
internal enum class Metric(val isHighGood: Boolean) {
    GOODPUT(true),
    FIRST_TOKEN_P50(false),
    FIRST_TOKEN_P95(false),
    CACHE_HITS(true),
    AMPLIFICATION(false),
    FAIRNESS(true),
    FALSE_REFUSALS(false),
    ;

    fun of(score: Score): Double =
        when (this) {
            GOODPUT -> score.goodput
            FIRST_TOKEN_P50 -> score.firstToken.p50.toDouble()
            FIRST_TOKEN_P95 -> score.firstToken.p95.toDouble()
            CACHE_HITS -> score.cacheHits
            AMPLIFICATION -> score.amplification
            FAIRNESS -> score.fairness
            FALSE_REFUSALS -> score.falseRefusals.toDouble()
        }
}
