/**
 * A simulated fleet for tests: several routers, one control replica and engines that crash on fatal prompt parts.
 * Traffic, delays and processing times come from a seed.
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
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.WallTime
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
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

private const val ROUTER_COUNT = 6
private const val ENGINE_COUNT = 9
private const val MAXIMUM_DELAY_MILLIS = 8L
private const val SHARED_PARTS = 4
private const val SESSION_PARTS = 200
private const val PART_TOKENS = 500L
private const val MILLIS_PER_SECOND = 1_000

internal const val FATAL_PART = "dead"

/** A request of the simulated traffic. */
internal data class SentPrompt(val sentAt: Long, val isFatal: Boolean, val prompt: PromptShape)

internal class PromptFleet(seed: Int, engineCount: Int = ENGINE_COUNT) {
    val random = Random(seed)
    var now = 0L
        private set
    private val control = SimulatedControl(seed, engineEntries(engineCount), clock = { now })
    private val routers = List(ROUTER_COUNT) { FleetRouter(it, seed) }
    private val inFlight = mutableListOf<Scheduled>()
    private var nextNumber = 1L
    val engines = CrashingEngines(random, setOf(FATAL_PART)) { router, message ->
        schedule { routers[router].run(listOf(message)) }
    }
    val sent = mutableMapOf<Pair<Int, RequestNumber>, SentPrompt>()
    val refused = mutableMapOf<Pair<Int, RequestNumber>, RefuseRequest>()

    /** Requests a second with and without the fatal part. */
    var soundPerSecond = 80
    var fatalPerSecond = 0

    /** A part that one in [SHARED_PARTS] of the requests has in place of a shared one, as a new system prompt is. */
    var newPart: String? = null

    /** Reports to the control process are lost. */
    var isControlCutOff = false

    private class Scheduled(val at: Long, val action: () -> Unit)

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            now++
            inFlight.filter { it.at <= now }.also(inFlight::removeAll).forEach { it.action() }
            control.runIfDue()
            routers.forEach { it.runIfDue() }
            engines.run(now)
            if (random.nextInt(MILLIS_PER_SECOND) < soundPerSecond) sendPrompt(isFatal = false)
            if (random.nextInt(MILLIS_PER_SECOND) < fatalPerSecond) sendPrompt(isFatal = true)
        }
    }

    /** Replaces the control process by one that knows only what its log holds. */
    fun restartControl() {
        control.losePendingReports()
        control.restart()
    }

    fun tablesOf(router: Int): ForwardingTables = routers[router].tables

    fun sendPrompt(isFatal: Boolean, session: String = "session-${random.nextInt(SESSION_PARTS)}") {
        val number = RequestNumber(nextNumber++)
        val index = random.nextInt(SHARED_PARTS)
        val shared = newPart?.takeIf { index == 0 } ?: "shared-$index"
        val ids = listOfNotNull(shared, FATAL_PART.takeIf { isFatal }, session, "own-${number.value}")
        val prompt = PromptShape(PART_TOKENS * ids.size, PART_TOKENS, ids.map { PromptPart(it, PART_TOKENS) })
        val digest = RequestDigest("digest-${number.value}")
        val head = RequestHead("call-${number.value}", "desk.example", "/chat/1", KEY, 4_000, prompt, digest)
        val router = random.nextInt(ROUTER_COUNT)
        sent[router to number] = SentPrompt(now, isFatal, prompt)
        routers[router].run(listOf(RequestArrived(number, head)))
    }

    private fun schedule(action: () -> Unit) {
        inFlight += Scheduled(now + 1 + random.nextLong(MAXIMUM_DELAY_MILLIS), action)
    }

    private inner class FleetRouter(private val index: Int, seed: Int) {
        private val settings = ForwardingSettings(
            router = RouterId("router-$index"),
            entry = RouterEntry("10.0.1.$index:80", FailureDomainId("north")),
            controlHosts = listOf(CONTROL_HOST),
            retryRatio = 0.2,
            retrySlack = 600,
            retryWindowMillis = 10_000,
        )
        private val machine = createForwarding(settings)
        var tables = initialForwarding(settings, SessionId("$index"), seed + index.toLong(), Timestamp(0))
            private set

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
                is SendAttempt -> {
                    val prompt = sent.getValue(index to effect.number).prompt
                    schedule { engines.send(index, effect, prompt, now) }
                }
                is RefuseRequest -> refused[index to effect.number] = effect
                is SendReport -> schedule { sendReport(effect.report) }
                else -> Unit
            }
        }

        private fun sendReport(report: RouterReport) {
            if (isControlCutOff) receive(null) else control.report(report, ::receive)
        }

        fun receive(answer: ReportAnswer?) {
            val configuration = configurationOf(1, null).takeIf { tables.configuration == null }
            val message = if (answer == null) ReportLost("unreachable") else ReportAnswered(answer, configuration)
            schedule { run(listOf(message)) }
        }
    }
}

private fun engineEntries(count: Int): List<UpstreamEntry> = List(count) { index ->
    UpstreamEntry(
        id = UpstreamId("engine-$index"),
        group = UpstreamGroupId("engines"),
        address = "10.1.0.$index:80",
        domain = FailureDomainId("north"),
        slots = 8,
        isLeaving = false,
        coldMillis = 0,
    )
}
