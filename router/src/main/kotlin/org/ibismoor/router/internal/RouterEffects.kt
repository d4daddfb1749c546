/**
 * Performs the effects of a router's ticks: hands decisions to traffic threads and sends messages to control
 * processes. Nothing here waits.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.CancelAttempt
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.DrainFinished
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.ReleaseAnswer
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.runtime.api.EffectHandler

internal class RouterEffects(
    private val messenger: ControlMessenger,
    private val registry: StreamRegistry,
    private val metrics: RouterMetrics,
    private val onDrained: () -> Unit,
) : EffectHandler<RouterTables, RouterEffect> {
    override fun perform(tables: RouterTables, effects: List<RouterEffect>) =
        effects.forEach {
            when (it) {
                is RoutingOutput -> perform(it.effect)
                is SendHeartbeat -> messenger.send(it)
                is SendBatch -> messenger.send(it)
            }
        }

    private fun perform(effect: RoutingEffect) =
        when (effect) {
            is Dispatch -> registry.decide(effect.stream, StreamDecision.Start(effect))
            is ReleaseAnswer -> registry.decide(effect.stream, StreamDecision.Deliver)
            is RefuseRequest -> registry.decide(effect.stream, StreamDecision.Reject(effect))
            is CancelAttempt -> registry.cancel(effect.stream)
            is CountEvent -> metrics.count(effect.event, effect.reason)
            is SendLedgerRequest -> error("ledger requests are batched before they come here")
            DrainFinished -> onDrained()
        }
}
