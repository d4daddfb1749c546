/**
 * A simulated fleet for tests of budgets: one control replica, a colocated router, and a router that a network
 * partition may separate from them. All VMs may lose power, after which only the log of the replica is left.
 */
package org.ibismoor.forwarding

import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.forwarding.api.SendReport
import org.ibismoor.forwarding.api.createForwarding
import org.ibismoor.forwarding.api.initialForwarding
import kotlin.random.Random

private const val ROUTER_COUNT = 2
private const val SEPARABLE_ROUTER = 1
private const val ANSWER_MILLIS = 100L
private const val NETWORK_MILLIS = 2L
private const val MILLIS_PER_SECOND = 1_000
private const val INPUT_TOKENS = 900L
private const val OUTPUT_TOKENS = 100L

/** Tokens that each request reserves and spends. */
internal const val REQUEST_TOKENS = INPUT_TOKENS + OUTPUT_TOKENS

internal class BudgetFleet(seed: Int, private val budget: Long) {
    private val random = Random(seed)
    private var now = 0L
    private val control = SimulatedControl(
        seed,
        upstreams(),
        PublishedConfiguration(1, "document", mapOf(COUNCIL to budget)),
        clock = { now },
    )
    private var routers = startRouters(seed)
    private val inFlight = mutableListOf<Scheduled>()
    private var nextNumber = 1L

    /** Requests a second at the router that is not colocated; all callers stay there. */
    var requestsPerSecond = 0

    /** Reports of that router are lost. */
    var isPartitioned = false

    var served = 0
        private set
    var refused = 0
        private set

    private class Scheduled(val at: Long, val action: () -> Unit)

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            now++
            inFlight.filter { it.at <= now }.also(inFlight::removeAll).forEach { it.action() }
            control.runIfDue()
            routers.forEach { it.runIfDue() }
            if (random.nextInt(MILLIS_PER_SECOND) < requestsPerSecond) sendRequest(routers[SEPARABLE_ROUTER])
        }
    }

    /** Ends all processes and starts them again; messages and requests in flight are lost. */
    fun losePower() {
        inFlight.clear()
        control.restart()
        routers = startRouters(random.nextInt())
    }

    private fun startRouters(seed: Int) = List(ROUTER_COUNT) { FleetRouter(it, seed) }

    private fun sendRequest(router: FleetRouter) {
        val number = RequestNumber(nextNumber++)
        val prompt = promptOf(INPUT_TOKENS, OUTPUT_TOKENS)
        val head = RequestHead("call-${number.value}", "desk.example", "/chat/1", KEY, 4_000, prompt)
        router.run(listOf(RequestArrived(number, head)))
    }

    private fun schedule(millis: Long, action: () -> Unit) {
        inFlight += Scheduled(now + millis, action)
    }

    private inner class FleetRouter(private val index: Int, seed: Int) {
        private val settings = ForwardingSettings(
            router = RouterId("router-$index"),
            entry = RouterEntry("10.0.0.${index + 1}:80", FailureDomainId("north"), cores = 1.0),
            controlHosts = listOf(CONTROL_HOST),
            retryRatio = 0.2,
            retrySlack = 600,
            retryWindowMillis = 10_000,
        )
        private val machine = createForwarding(settings)
        private var tables =
            initialForwarding(settings, SessionId("$index-$now"), seed + index.toLong(), Timestamp(now))

        fun runIfDue() {
            val due = machine.nextDue(tables)
            if (due != null && due.millis <= now) run(emptyList())
        }

        fun run(messages: List<ForwardingMessage>) {
            val step = machine.run(tables, Tick(Timestamp(now), WallTime(now), messages))
            tables = step.tables
            step.effects.forEach(::perform)
        }

        private fun perform(effect: ForwardingEffect) {
            when (effect) {
                is SendAttempt -> schedule(ANSWER_MILLIS) { endAttempt(effect) }
                is RefuseRequest -> refused++
                is SendReport -> schedule(NETWORK_MILLIS) { sendReport(effect.report) }
                else -> Unit
            }
        }

        private fun endAttempt(attempt: SendAttempt) {
            served++
            run(listOf(AttemptEnded(attempt.number, attempt.attempt, Delivered(OUTPUT_TOKENS.toInt(), load = null))))
        }

        private fun sendReport(report: RouterReport) {
            if (isPartitioned && index == SEPARABLE_ROUTER) receive(null) else control.report(report, ::receive)
        }

        fun receive(answer: ReportAnswer?) {
            val configuration = configurationOf(1, budget).takeIf { tables.configuration == null }
            val message = if (answer == null) ReportLost("unreachable") else ReportAnswered(answer, configuration)
            schedule(NETWORK_MILLIS) { run(listOf(message)) }
        }
    }
}
