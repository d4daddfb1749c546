/**
 * The two deployments of today; [oneWayMillis] is the delay between the domains of one.
 */
package org.ibismoor.bench.replay.internal

internal enum class Deployment(val region: String, val oneWayMillis: Double, val engines: Int) {
    BILBAO("norte", oneWayMillis = 0.5, engines = 6),
    COULEE("prairie", oneWayMillis = 1.2, engines = 8),
    ;

    val domains: List<String> get() = (1..DOMAINS).map { "$region-$it" }

    private companion object {
        const val DOMAINS = 3
    }
}
