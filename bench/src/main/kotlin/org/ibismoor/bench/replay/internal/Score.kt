/**
 * Result of one policy on one trace.
 */
package org.ibismoor.bench.replay.internal

import org.HdrHistogram.Histogram

private const val MEDIAN = 50.0
private const val NINETY_FIFTH = 95.0
private const val NINETY_NINTH = 99.0

/** Percentiles in milliseconds. */
internal data class Percentiles(val p50: Long, val p95: Long, val p99: Long) {
    override fun toString(): String = "$p50/$p95/$p99"

    companion object {
        fun of(values: Histogram): Percentiles =
            Percentiles(
                values.getValueAtPercentile(MEDIAN),
                values.getValueAtPercentile(NINETY_FIFTH),
                values.getValueAtPercentile(NINETY_NINTH),
            )
    }
}

/**
 * [goodput] is the fraction of requests answered completely within their deadline. [falseRefusals] counts requests that
 * failed before a token while an engine had a free place in its batch. [amplification] is attempts per request,
 * [cacheHits] the fraction of admitted attempts whose prefix was cached, [fairness] the lowest goodput of an
 * organisation.
 */
internal data class Score(
    val requests: Int,
    val goodput: Double,
    val firstToken: Percentiles,
    val betweenTokens: Percentiles,
    val refused: Int,
    val falseRefusals: Int,
    val amplification: Double,
    val cacheHits: Double,
    val fairness: Double,
)
