/**
 * Performs the effects of a router's ticks without blocking: passes decisions to traffic threads and sends messages to
 * control processes.
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
            is Dispatch -> registry.postDecision(effect.stream, StreamDecision.StartAttempt(effect))
            is ReleaseAnswer -> registry.postDecision(effect.stream, StreamDecision.DeliverAnswer)
            is RefuseRequest -> registry.postDecision(effect.stream, StreamDecision.SendRefusal(effect))
            is CancelAttempt -> registry.cancel(effect.stream)
            is CountEvent -> metrics.count(effect.event, effect.reason)
            is SendLedgerRequest -> error("RouterMachine must batch ledger requests before effects are performed")
            DrainFinished -> onDrained()
        }
}
