/**
 * The deployments that traces are generated for; [oneWayMillis] is the delay between their failure domains.
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
