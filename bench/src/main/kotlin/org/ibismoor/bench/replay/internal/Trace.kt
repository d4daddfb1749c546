/**
 * A trace: the requests of callers and the faults, ordered by time. Times are in milliseconds from its start.
 */
package org.ibismoor.bench.replay.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.Priority

internal data class Trace(val header: TraceHeader, val lines: List<TraceLine>)

/** [oneWayMillis] is the delay between failure domains. Callers retry a refused request [callerRetries] times. */
@Serializable
internal data class TraceHeader(
    val name: String,
    val seed: Long,
    val deployment: String,
    val durationMillis: Long,
    val oneWayMillis: Double,
    val callerRetries: Int,
    val engines: List<EngineDeclaration>,
    val expected: List<Expectation>,
)

/** [cachePrefixes] is the number of prompt prefixes that the engine can hold. */
@Serializable
internal data class EngineDeclaration(
    val id: String,
    val domain: String,
    val tokensPerSecond: Int,
    val batch: Int,
    val cachePrefixes: Int,
)

@Serializable
internal sealed interface TraceLine {
    val at: Long
}

@Serializable
@SerialName("arrival")
internal data class Arrival(
    override val at: Long,
    val organisation: String,
    val priority: Priority,
    val promptTokens: Int,
    val prefix: Long,
    val answerTokens: Int,
    val deadlineMillis: Long,
) : TraceLine

@Serializable
@SerialName("engine_lost")
internal data class EngineLost(override val at: Long, val engine: String) : TraceLine

/** The VMs of [domain] fail: connections to them time out and the router there is lost. */
@Serializable
@SerialName("domain_lost")
internal data class DomainLost(override val at: Long, val domain: String) : TraceLine

@Serializable
@SerialName("engine_returned")
internal data class EngineReturned(override val at: Long, val engine: String) : TraceLine

@Serializable
@SerialName("domain_returned")
internal data class DomainReturned(override val at: Long, val domain: String) : TraceLine

/** From [at] on, the engine runs at [percent] of its declared speed. */
@Serializable
@SerialName("engine_slow")
internal data class EngineSlow(override val at: Long, val engine: String, val percent: Int) : TraceLine
