/**
 * A simulated fleet for tests of streams at upstreams of several software versions: routers, one control replica that
 * reads a changing list of upstreams, and callers that take up broken streams. Traffic and delays come from a seed.
 */
package org.ibismoor.forwarding

import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.CallerDisconnected
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.PromptPart
import org.ibismoor.forwarding.api.PromptShape
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

internal const val STREAM_ROUTERS = 4

private const val MAXIMUM_DELAY_MILLIS = 8L

/** The same for all messages, so that those of one connection keep their order. */
private const val ANSWER_DELAY_MILLIS = 3L
private const val RECONNECT_MILLIS = 50L
private const val MILLIS_PER_SECOND = 1_000
private const val PROMPT_TOKENS = 500L

internal class StreamFleet(
    private val seed: Int,
    entries: List<UpstreamEntry>,
    private val configuration: ForwardingConfiguration = configurationOf(1, null),
) {
    val random = Random(seed)
    var now = 0L
        private set

    /** What the platform lists. */
    var list = entries

    /** Indices of routers whose reports are lost. */
    var cutOff: Set<Int> = emptySet()
    var streamsPerSecond = 0
    private val control = SimulatedControl(seed, emptyList(), readList = { list }, clock = { now })
    private var isControlUp = true
    private var starts = 0
    private val routers = MutableList<FleetRouter?>(STREAM_ROUTERS, ::startRouter)
    private val scheduled = mutableListOf<Scheduled>()
    private var nextNumber = 1L
    val engines = StreamEngines(random) { name, message ->
        schedule(ANSWER_DELAY_MILLIS) { routerOf(name)?.run(listOf(message)) }
    }
    val callers = StreamCallers(random, { delay, action -> schedule(delay, action) }, { send(it) })

    private class Scheduled(val at: Long, val action: () -> Unit)

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            now++
            val due = scheduled.filter { it.at <= now }.also(scheduled::removeAll)
            due.forEach { it.action() }
            if (isControlUp) control.runIfDue()
            routers.forEach { it?.runIfDue() }
            engines.run(now)
            if (random.nextInt(MILLIS_PER_SECOND) < streamsPerSecond) callers.beginStream()
        }
    }

    /** Ends the process of [router], which starts again with empty tables after [downMillis]. */
    fun killRouter(router: Int, downMillis: Long) {
        routers[router]?.end()
        routers[router] = null
        schedule(downMillis) { if (routers[router] == null) routers[router] = startRouter(router) }
    }

    /** Ends all processes; control starts again with what its log holds and routers with empty tables. */
    fun losePower(downMillis: Long) {
        control.losePendingReports()
        isControlUp = false
        routers.indices.forEach { killRouter(it, downMillis) }
        schedule(downMillis) {
            control.restart()
            isControlUp = true
        }
    }

    /** Closes the connections of [percent] of 100 callers. */
    fun resetCallers(percent: Int) = routers.forEach { it?.resetCallers(percent) }

    /** Sends [call] to [router], or to any router; a caller that finds none tries again. */
    fun send(call: StreamCall, router: Int = random.nextInt(STREAM_ROUTERS)) {
        val running = routers[router]
        if (running == null) schedule(RECONNECT_MILLIS) { send(call) } else running.receive(call)
    }

    private fun startRouter(index: Int): FleetRouter = FleetRouter(index, "router-$index-${++starts}")

    private fun routerOf(name: String): FleetRouter? = routers.firstOrNull { it?.name == name }

    private fun schedule(delay: Long = 1 + random.nextLong(MAXIMUM_DELAY_MILLIS), action: () -> Unit) {
        scheduled += Scheduled(now + delay, action)
    }

    private inner class FleetRouter(private val index: Int, val name: String) {
        private val settings = ForwardingSettings(
            router = RouterId("router-$index"),
            entry = RouterEntry("10.0.1.$index:80", FailureDomainId("north")),
            controlHosts = listOf(CONTROL_HOST),
            retryRatio = 0.2,
            retrySlack = 600,
            retryWindowMillis = 10_000,
        )
        private val machine = createForwarding(settings)
        private val calls = mutableMapOf<RequestNumber, StreamCall>()
        private var tables = initialForwarding(settings, SessionId(name), seed + starts.toLong(), Timestamp(now))

        fun receive(call: StreamCall) {
            val number = RequestNumber(nextNumber++)
            calls[number] = call
            run(listOf(RequestArrived(number, headOf(call))))
        }

        fun runIfDue() {
            val due = machine.nextDue(tables)
            if (due != null && due.millis <= now) run(emptyList())
        }

        fun run(messages: List<ForwardingMessage>) {
            messages.forEach(::passOn)
            val step = machine.run(tables, Tick(Timestamp(now), WallTime(now), messages))
            tables = step.tables
            step.effects.forEach(::perform)
        }

        /** Ends the process; its callers see their connections close. */
        fun end() {
            engines.cancel(name)
            calls.values.forEach(callers::handleBreak)
        }

        fun resetCallers(percent: Int) {
            val broken = calls.filterValues { it.hasEvents && random.nextInt(100) < percent }
            broken.forEach { (number, call) ->
                calls -= number
                engines.cancel(name, number)
                run(listOf(CallerDisconnected(number, deliveredEvents = 1)))
                callers.handleBreak(call)
            }
        }

        /** What the caller receives of an attempt. */
        private fun passOn(message: ForwardingMessage) {
            when (message) {
                is FirstEventArrived -> calls[message.number]?.let { callers.receiveEvent(it, message.attempt) }
                is AttemptEnded -> if (message.result is Delivered) calls -= message.number
                else -> Unit
            }
        }

        private fun perform(effect: ForwardingEffect) {
            when (effect) {
                is SendAttempt -> {
                    calls[effect.number]?.attempts?.put(effect.attempt, effect.upstream.version)
                    schedule { engines.send(name, effect, now) }
                }
                is RefuseRequest -> calls.remove(effect.number)?.let { callers.handleRefusal(it, effect) }
                is SendReport -> schedule { sendReport(effect.report) }
                else -> Unit
            }
        }

        private fun sendReport(report: RouterReport) {
            val isReachable = isControlUp && index !in cutOff
            if (isReachable) control.report(report, ::receiveAnswer) else receiveAnswer(null)
        }

        private fun receiveAnswer(answer: ReportAnswer?) {
            val newest = configuration.takeIf { tables.configuration == null }
            val message = if (answer == null) ReportLost("unreachable") else ReportAnswered(answer, newest)
            schedule { routerOf(name)?.run(listOf(message)) }
        }
    }
}

private fun headOf(call: StreamCall): RequestHead {
    val name = call.stream.name
    val prompt = PromptShape(PROMPT_TOKENS, PROMPT_TOKENS, listOf(PromptPart(name, PROMPT_TOKENS)))
    val digest = RequestDigest(name)
    return RequestHead(call.callId, "desk.example", "/chat/1", KEY, 4_000, prompt, digest, call.continuation)
}
