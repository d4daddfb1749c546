/**
 * Passes the effects of the control thread to the threads that perform them.
 */
package org.ibismoor.soak.internal

import org.ibismoor.runtime.api.EffectHandler
import org.ibismoor.soak.api.SoakResult
import org.ibismoor.soak.internal.net.FaultProxy
import org.ibismoor.soak.internal.net.ListServer
import org.ibismoor.soak.internal.net.UpstreamTraffic
import org.ibismoor.soak.internal.process.FleetProcesses
import org.ibismoor.soak.internal.world.CloseUpstream
import org.ibismoor.soak.internal.world.EndSoak
import org.ibismoor.soak.internal.world.LookUpRouters
import org.ibismoor.soak.internal.world.Observe
import org.ibismoor.soak.internal.world.OpenUpstream
import org.ibismoor.soak.internal.world.PublishConfiguration
import org.ibismoor.soak.internal.world.ReadConfiguration
import org.ibismoor.soak.internal.world.SendCall
import org.ibismoor.soak.internal.world.SetLinkFaults
import org.ibismoor.soak.internal.world.SetListPage
import org.ibismoor.soak.internal.world.SignalProcess
import org.ibismoor.soak.internal.world.SoakEffect
import org.ibismoor.soak.internal.world.SoakTables
import org.ibismoor.soak.internal.world.StartProcess
import org.ibismoor.soak.internal.world.WriteAttempt

/** Everything that runs on the traffic thread. */
internal class SoakTraffic(
    val calls: CallTraffic,
    val upstreams: UpstreamTraffic,
    val proxy: FaultProxy,
    val list: ListServer,
)

internal class EffectPerformer(
    private val traffic: SoakTraffic,
    private val processes: FleetProcesses,
    private val observations: ObservationLog,
    private val onEnd: (SoakResult) -> Unit,
) : EffectHandler<SoakTables, SoakEffect> {
    /** Observations are recorded first, so that nothing that an effect leads to is observed before them. */
    override fun perform(tables: SoakTables, effects: List<SoakEffect>) {
        observations.record(effects.filterIsInstance<Observe>().map { it.observation })
        effects.forEach { perform(tables, it) }
    }

    private fun perform(tables: SoakTables, effect: SoakEffect) {
        when (effect) {
            is StartProcess -> processes.start(effect)
            is SignalProcess -> processes.signal(effect.process, effect.signal)
            is OpenUpstream -> traffic.upstreams.open(effect.slot)
            is CloseUpstream -> traffic.upstreams.close(effect.slot)
            is WriteAttempt -> traffic.upstreams.write(effect.attempt, effect.output)
            is SetLinkFaults -> traffic.proxy.apply(effect.links)
            is SetListPage -> traffic.list.page = effect.page
            is EndSoak -> onEnd(observations.result(hasServed = tables.servingSince != null))
            else -> performCall(effect)
        }
    }

    private fun performCall(effect: SoakEffect) {
        when (effect) {
            is LookUpRouters -> traffic.calls.lookUp(effect)
            is SendCall -> traffic.calls.send(effect)
            is PublishConfiguration -> traffic.calls.publish(effect)
            is ReadConfiguration -> traffic.calls.read(effect)
            else -> Unit
        }
    }
}
