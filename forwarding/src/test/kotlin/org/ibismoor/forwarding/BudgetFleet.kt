/**
 * A simulated fleet for tests of budgets: one control replica, a colocated router, and routers that a network partition
 * may separate from them. All VMs may lose power, after which only the log of the replica is left.
 */
package org.ibismoor.forwarding

import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.forwarding.api.AnswerLoan
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.LoadPolicies
import org.ibismoor.forwarding.api.LoanReceived
import org.ibismoor.forwarding.api.LoanRequested
import org.ibismoor.forwarding.api.PromptShape
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestLoan
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.forwarding.api.SendReport
import org.ibismoor.forwarding.api.createForwarding
import org.ibismoor.forwarding.api.initialForwarding
import kotlin.random.Random

private const val MILLIS_PER_SECOND = 1_000
private const val ADDRESSES_PER_SUBNET = 200
private const val COLOCATED_ROUTER = 0
private const val ANSWER_MILLIS = 100L
private const val NETWORK_MILLIS = 2L

/** Sends the requests of one simulated millisecond to routers of a [BudgetFleet]. */
internal fun interface Callers {
    fun sendRequests(fleet: BudgetFleet, random: Random)
}

internal class BudgetFleet(
    seed: Int,
    val budgets: Map<OrganisationId, Long>,
    private val callers: Callers,
    private val routerCount: Int = 2,
    upstreams: List<UpstreamEntry> = upstreams(),
    private val policies: LoadPolicies = LoadPolicies(),
) {
    private val random = Random(seed)
    private val configuration = configurationOf(1, budgets)
    var now = 0L
        private set
    private val control =
        SimulatedControl(seed, upstreams, PublishedConfiguration(1, "document", budgets), clock = { now })
    private var routers = startRouters(seed)
    private val inFlight = mutableListOf<Scheduled>()
    private var nextNumber = 1L

    /** Messages between the colocated router with its control replica and all other routers are lost. */
    var isPartitioned = false

    var served = 0
        private set
    var refused = 0
        private set

    /** Refused requests by the simulated second and the reason. */
    val refusals = mutableMapOf<Pair<Long, RefusalReason>, Int>()
    val servedTokens = mutableMapOf<OrganisationId, Long>()

    private class Scheduled(val at: Long, val action: () -> Unit)

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            now++
            inFlight.filter { it.at <= now }.also(inFlight::removeAll).forEach { it.action() }
            control.runIfDue()
            routers.forEach { it.runIfDue() }
            callers.sendRequests(this, random)
        }
    }

    /** Ends all processes and starts them again; messages and requests in flight are lost. */
    fun losePower() {
        inFlight.clear()
        control.restart()
        routers = startRouters(random.nextInt())
    }

    private fun startRouters(seed: Int) = List(routerCount) { FleetRouter(it, seed) }

    fun sendRequest(router: Int, organisation: OrganisationId, prompt: PromptShape) {
        val number = RequestNumber(nextNumber++)
        val digest = RequestDigest("digest-${number.value}")
        val key = keyOf(organisation)
        val head = RequestHead("call-${number.value}", "desk.example", "/chat/1", key, 4_000, prompt, digest)
        routers[router].accept(number, head, organisation)
    }

    private fun schedule(millis: Long, action: () -> Unit) {
        inFlight += Scheduled(now + millis, action)
    }

    private fun isConnected(one: Int, other: Int): Boolean =
        !isPartitioned || (one == COLOCATED_ROUTER) == (other == COLOCATED_ROUTER)

    private inner class FleetRouter(private val index: Int, seed: Int) {
        val address = "10.0.${index / ADDRESSES_PER_SUBNET}.${index % ADDRESSES_PER_SUBNET + 1}:80"
        private val settings = ForwardingSettings(
            router = RouterId("router-$index"),
            entry = RouterEntry(address, FailureDomainId("north"), cores = 1.0),
            controlHosts = listOf(CONTROL_HOST),
            retryRatio = 0.2,
            retrySlack = 600,
            retryWindowMillis = 10_000,
            policies = policies,
        )
        private val machine = createForwarding(settings)
        private var tables =
            initialForwarding(settings, SessionId("$index-$now"), seed + index.toLong(), Timestamp(now))
        private val open = mutableMapOf<RequestNumber, OpenRequest>()

        fun runIfDue() {
            val due = machine.nextDue(tables)
            if (due != null && due.millis <= now) run(emptyList())
        }

        fun accept(number: RequestNumber, head: RequestHead, organisation: OrganisationId) {
            val prompt = checkNotNull(head.prompt)
            open[number] = OpenRequest(organisation, prompt)
            run(listOf(RequestArrived(number, head)))
        }

        fun run(messages: List<ForwardingMessage>) {
            val step = machine.run(tables, Tick(Timestamp(now), WallTime(now), messages))
            tables = step.tables
            step.effects.forEach(::perform)
        }

        private fun perform(effect: ForwardingEffect) {
            when (effect) {
                is SendAttempt -> schedule(ANSWER_MILLIS) { endAttempt(effect) }
                is RefuseRequest -> countRefusal(effect)
                is SendReport -> schedule(NETWORK_MILLIS) { sendReport(effect.report) }
                is RequestLoan -> schedule(NETWORK_MILLIS) { requestLoan(effect) }
                is AnswerLoan -> loans.remove(effect.replyId)?.invoke(effect.tokens)
                else -> Unit
            }
        }

        private fun countRefusal(refusal: RefuseRequest) {
            open.remove(refusal.number)
            refused++
            refusals.merge(now / MILLIS_PER_SECOND to refusal.reason, 1, Int::plus)
        }

        private fun endAttempt(attempt: SendAttempt) {
            val request = open.remove(attempt.number) ?: return
            served++
            servedTokens.merge(request.organisation, request.prompt.maximumCost, Long::plus)
            val events = request.prompt.outputTokens.toInt()
            run(listOf(AttemptEnded(attempt.number, attempt.attempt, Delivered(events, load = null))))
        }

        private fun sendReport(report: RouterReport) {
            if (isConnected(index, COLOCATED_ROUTER)) control.report(report, ::receive) else receive(null)
        }

        private fun requestLoan(request: RequestLoan) {
            val lender = routers.first { it.address == request.address }
            if (isConnected(index, lender.index)) lender.lend(request) { receiveLoan(request.organisation, it) }
        }

        private fun lend(request: RequestLoan, answer: (Long) -> Unit) {
            val reply = nextNumber++
            loans[reply] = answer
            run(listOf(LoanRequested(reply, request.organisation, request.tokens)))
        }

        private fun receiveLoan(organisation: OrganisationId, tokens: Long) {
            schedule(NETWORK_MILLIS) { if (tokens > 0) run(listOf(LoanReceived(organisation, tokens))) }
        }

        private fun receive(answer: ReportAnswer?) {
            val first = configuration.takeIf { tables.configuration == null }
            val message = if (answer == null) ReportLost("unreachable") else ReportAnswered(answer, first)
            schedule(NETWORK_MILLIS) { run(listOf(message)) }
        }
    }

    private val loans = mutableMapOf<Long, (Long) -> Unit>()

    private class OpenRequest(val organisation: OrganisationId, val prompt: PromptShape)
}
