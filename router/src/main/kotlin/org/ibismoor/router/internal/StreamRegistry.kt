/**
 * The streams in flight by their identifier. A stream is removed with its final decision.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.StreamId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

internal class StreamRegistry(private val cuts: AnswerCuts, private val post: (RoutingMessage) -> Unit) {
    private val streams = ConcurrentHashMap<StreamId, StreamExchange>()
    private val lastId = AtomicLong()

    fun open(): StreamExchange {
        val id = StreamId(lastId.incrementAndGet())
        val exchange = StreamExchange(id, AnswerTrace(id, cuts), post)
        streams[exchange.id] = exchange
        return exchange
    }

    fun postDecision(id: StreamId, decision: StreamDecision) {
        val exchange = if (decision is StreamDecision.StartAttempt) streams[id] else streams.remove(id)
        exchange?.postDecision(decision)
    }

    fun cancel(id: StreamId) {
        streams[id]?.cancel()
    }
}
