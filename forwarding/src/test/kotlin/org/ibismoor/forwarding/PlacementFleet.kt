/**
 * A simulated fleet for tests of the placement of callers: one control replica, routers as tables, and callers that
 * keep their connections as long as their answers name the routers of these.
 */
package org.ibismoor.forwarding

import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.WallTime
import org.ibismoor.forwarding.api.AddressAnswer
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.CallerMoves
import org.ibismoor.forwarding.api.CallerPlace
import org.ibismoor.forwarding.api.CallerPlacement
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.LoadPolicies
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.ResourceUse
import org.ibismoor.forwarding.api.ResourcesMeasured
import org.ibismoor.forwarding.api.RouterResources
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.forwarding.api.SendReport
import org.ibismoor.forwarding.api.addressAnswer
import org.ibismoor.forwarding.api.createForwarding
import org.ibismoor.forwarding.api.initialForwarding
import java.util.PriorityQueue
import kotlin.random.Random

private const val STEP_MILLIS = 10L
private const val NETWORK_MILLIS = 2L
private const val ANSWER_MILLIS = 600L
private const val MEASURE_MILLIS = 500L
private const val MILLIS_PER_SECOND = 1_000L
private const val MAXIMUM_COUNTED_VALIDITY_SECONDS = 5.0
private const val CORES_PER_REQUEST = 0.003
private const val WORKERS = 40

/** A router and the failure domain in which it is. */
internal data class PlacedRouter(val domain: FailureDomainId, val resources: RouterResources)

/** A caller that sends a request every [intervalMillis] on average. */
internal data class CallerGroup(val domain: FailureDomainId, val intervalMillis: Double)

internal class PlacementFleet(
    seed: Int,
    private val placedRouters: List<PlacedRouter>,
    callerGroups: List<CallerGroup>,
    private val placement: CallerPlacement = CallerPlacement.ROOM,
) {
    private val random = Random(seed)
    private val upstreams = List(WORKERS) { upstream("desk-$it", UpstreamGroupId("desk")) }
    private val configuration = configurationOf(1, budget = null)
    var now = 0L
        private set
    private val control = SimulatedControl(seed, upstreams, clock = { now })
    private val routers = List(placedRouters.size) { FleetRouter(it, seed) }
    private val byAddress = routers.associateBy { it.address }
    private val callers = callerGroups.map(::PlacedCaller)
    private val scheduled = PriorityQueue<Scheduled>(compareBy({ it.at }, { it.order }))
    private var nextNumber = 1L
    private var answers = 0L

    /** No report reaches the leader. */
    var isLeaderGone = false

    /** Requests by router and second. */
    val arrivals = List(placedRouters.size) { mutableMapOf<Long, Int>() }
    var refused = 0
        private set
    var moved = 0
        private set
    var near = 0
        private set
    var total = 0
        private set

    /** Requests for which a caller had no address left to try. */
    var unplaced = 0
        private set

    private class Scheduled(val at: Long, val order: Long, val action: () -> Unit)

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            now += STEP_MILLIS
            while (scheduled.isNotEmpty() && scheduled.peek().at <= now) scheduled.poll().action()
            control.runIfDue()
            routers.forEach { it.runIfDue() }
            if (routers.any { it.isReady }) callers.forEach { it.sendIfDue() }
        }
    }

    /** The processes of the routers with these indices end. */
    fun stop(indices: Iterable<Int>) = indices.forEach { routers[it].isStopped = true }

    /** The highest load of a running router in the seconds of [span], relative to its part by capacity. */
    fun highestPart(span: LongRange): Double {
        val running = routers.indices.filterNot { routers[it].isStopped }
        val requests = running.associateWith { router -> span.sumOf { arrivals[router][it] ?: 0 } }
        val capacity = running.sumOf { placedRouters[it].resources.capacity }
        return running.maxOf { router ->
            val part = requests.values.sum() * placedRouters[router].resources.capacity / capacity
            requests.getValue(router) / part
        }
    }

    private fun schedule(millis: Long, action: () -> Unit) {
        scheduled += Scheduled(now + millis, nextNumber++, action)
    }

    private inner class PlacedCaller(private val group: CallerGroup) {
        private var answer: AddressAnswer? = null
        private var expiresAt = 0L
        private var nextAt = (random.nextDouble() * group.intervalMillis).toLong()
        private val idle = ArrayDeque<FleetRouter>()
        private var failed = emptySet<String>()

        fun sendIfDue() {
            while (nextAt <= now) {
                if (now >= expiresAt) renew()
                nextAt += (group.intervalMillis * 2 * random.nextDouble()).toLong() + 1
                val router = idle.removeLastOrNull() ?: connect()
                if (router == null) unplaced++ else send(router)
            }
        }

        private fun renew() {
            val asked = routers.filter { it.isReady }.random(random)
            val next = asked.resolve(group.domain, answers++)
            answer = next
            failed = emptySet()
            val seconds = minOf(next.validSeconds * (1 + 2 * random.nextDouble()), MAXIMUM_COUNTED_VALIDITY_SECONDS)
            expiresAt = now + (seconds * MILLIS_PER_SECOND).toLong()
            idle.removeAll { it.address !in addresses() }
        }

        private fun addresses(): List<String> = answer?.routers.orEmpty().map { it.address }

        /** Each address that fails is left out of the next draw. */
        private fun connect(): FleetRouter? {
            while (true) {
                val address = (addresses() - failed).randomOrNull(random) ?: return null
                val router = byAddress.getValue(address)
                if (!router.isStopped) return router
                failed = failed + address
            }
        }

        private fun send(router: FleetRouter) {
            if (router.isStopped) return
            total++
            if (router.domain == group.domain) near++
            router.accept { isKept -> if (isKept && router.address in addresses()) idle.addLast(router) }
        }
    }

    private inner class FleetRouter(private val index: Int, seed: Int) {
        val domain = placedRouters[index].domain
        val address = "10.0.1.$index:80"
        private val settings = ForwardingSettings(
            router = RouterId("router-$index"),
            entry = RouterEntry(address, domain, placedRouters[index].resources.cores),
            controlHosts = listOf(CONTROL_HOST),
            retryRatio = 0.2,
            retrySlack = 600,
            retryWindowMillis = 10_000,
            policies = LoadPolicies(callerPlacement = placement),
            resources = placedRouters[index].resources,
        )
        private val machine = createForwarding(settings)
        private var tables = initialForwarding(settings, SessionId("$index"), seed + index.toLong(), Timestamp(now))
        private val open = mutableMapOf<RequestNumber, (Boolean) -> Unit>()
        private var moves = CallerMoves()
        private var nextMeasureAt = index.toLong()
        private var arrivedSinceMeasure = 0
        var isStopped = false

        val isReady: Boolean get() = !isStopped && tables.state == RouterState.READY

        fun runIfDue() {
            if (isStopped) return
            if (now >= nextMeasureAt) measure()
            val due = machine.nextDue(tables)
            if (due != null && due.millis <= now) run(emptyList())
        }

        private fun measure() {
            nextMeasureAt += MEASURE_MILLIS
            val cores = arrivedSinceMeasure * CORES_PER_REQUEST * MILLIS_PER_SECOND / MEASURE_MILLIS
            arrivedSinceMeasure = 0
            run(listOf(ResourcesMeasured(ResourceUse(cores, descriptors = 2 * open.size))))
        }

        fun resolve(domain: FailureDomainId, draw: Long): AddressAnswer =
            tables.addressAnswer(CallerPlace(domain), settings, Timestamp(now), draw)

        fun accept(onEnd: (Boolean) -> Unit) {
            arrivals[index].merge(now / MILLIS_PER_SECOND, 1, Int::plus)
            arrivedSinceMeasure++
            val number = RequestNumber(nextNumber++)
            open[number] = onEnd
            val digest = RequestDigest("digest-${number.value}")
            val head = RequestHead("call-${number.value}", "desk.example", "/status/1", KEY, 4_000, null, digest)
            run(listOf(RequestArrived(number, head)))
        }

        private fun run(messages: List<ForwardingMessage>) {
            if (isStopped) return
            val step = machine.run(tables, Tick(Timestamp(now), WallTime(now), messages))
            tables = step.tables
            step.effects.forEach(::perform)
        }

        private fun perform(effect: ForwardingEffect) {
            when (effect) {
                is SendAttempt -> schedule(ANSWER_MILLIS) { endAttempt(effect) }
                is RefuseRequest -> {
                    refused++
                    end(effect.number)
                }
                is SendReport -> schedule(NETWORK_MILLIS) { sendReport(effect.report) }
                else -> Unit
            }
        }

        private fun endAttempt(attempt: SendAttempt) {
            if (attempt.number !in open) return
            run(listOf(AttemptEnded(attempt.number, attempt.attempt, Delivered(1, load = null))))
            end(attempt.number)
        }

        private fun end(number: RequestNumber) {
            val next = moves.withMove(now, tables.placement.movesPerSecond)
            moves = next ?: moves
            if (next != null) moved++
            open.remove(number)?.invoke(next == null && !isStopped)
        }

        private fun sendReport(report: RouterReport) {
            when {
                isStopped -> Unit
                isLeaderGone -> receive(null)
                else -> control.report(report, ::receive)
            }
        }

        private fun receive(answer: ReportAnswer?) {
            val first = configuration.takeIf { tables.configuration == null }
            val message = if (answer == null) ReportLost("unreachable") else ReportAnswered(answer, first)
            schedule(NETWORK_MILLIS) { run(listOf(message)) }
        }
    }
}
