/**
 * A simulated fleet for tests: routers, one control replica, upstreams, and callers that send one deadly request again
 * and again beside sound ones. Some sound requests are repeated too: all callers send the common ones, and a caller
 * sends a lost or refused one again. Traffic, delays and processing times come from a seed.
 */
package org.ibismoor.forwarding

import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.WallTime
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.Delivered
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

private const val MAXIMUM_DELAY_MILLIS = 8L
private const val COMMON_REQUESTS = 5
private const val COMMON_SHARE = 4
private const val PART_TOKENS = 500L
private const val MILLIS_PER_SECOND = 1_000
private const val REPEAT_MILLIS = 500L
private const val MAXIMUM_REPEATS = 40

/** The route of the deadly request, and how many upstreams it has. */
internal enum class DeadlyRoute(val path: String, val group: String, val upstreamCount: Int, val hasPrompt: Boolean) {
    ENGINE("/chat/1", "engines", upstreamCount = 9, hasPrompt = true),
    PLAIN("/status/1", "desk", upstreamCount = 3, hasPrompt = false),
}

internal class SimulatedContent(val text: String, val isDeadly: Boolean, val repeats: Int = 0) {
    val digest: RequestDigest get() = RequestDigest(text)
}

internal class DeadlyFleet(private val seed: Int, private val route: DeadlyRoute, private val routerCount: Int = 6) {
    val random = Random(seed)
    var now = 0L
        private set
    private val entries =
        List(route.upstreamCount) { upstream("${route.group}-$it", UpstreamGroupId(route.group)) }
    private val control = SimulatedControl(seed, entries, clock = { now })
    private var starts = 0
    private var routers = startRouters()
    private val scheduled = mutableListOf<Scheduled>()
    private var nextNumber = 1L
    val upstreams = DeadlyUpstreams(random) { name, message -> schedule { routerOf(name)?.run(listOf(message)) } }

    /** Sound content that was refused by a quarantine, with the time of the last such refusal and of an answer. */
    val quarantinedAt = mutableMapOf<String, Long>()
    val deliveredAt = mutableMapOf<String, Long>()

    var soundPerSecond = 60
    var deadlyPerSecond = 0

    /** Indices of routers whose reports are lost. */
    var cutOff: Set<Int> = emptySet()

    private class Scheduled(val at: Long, val action: () -> Unit)

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            now++
            val due = scheduled.filter { it.at <= now }.also(scheduled::removeAll)
            due.forEach { it.action() }
            control.runIfDue()
            routers.forEach { it.runIfDue() }
            upstreams.run(now)
            if (random.nextInt(MILLIS_PER_SECOND) < soundPerSecond) send(soundContent())
            if (random.nextInt(MILLIS_PER_SECOND) < deadlyPerSecond) send(SimulatedContent("deadly", isDeadly = true))
        }
    }

    /** Replaces the control process by one that knows only what its log holds. */
    fun restartControl() {
        control.losePendingReports()
        control.restart()
    }

    /** Ends all processes; routers start with empty tables. */
    fun restartAll() {
        restartControl()
        routers = startRouters()
    }

    fun crashAll() = entries.forEach { upstreams.crash(it.id.text, now) }

    fun crashOne() = upstreams.crash(entries[random.nextInt(entries.size)].id.text, now)

    fun tablesOf(router: Int): ForwardingTables = routers[router].tables

    private fun startRouters(): List<FleetRouter> {
        starts++
        return List(routerCount) { FleetRouter(it, "router-$it-$starts") }
    }

    private fun routerOf(name: String): FleetRouter? = routers.firstOrNull { it.name == name }

    private fun soundContent(): SimulatedContent {
        val isCommon = random.nextInt(COMMON_SHARE) == 0
        val text = if (isCommon) "common-${random.nextInt(COMMON_REQUESTS)}" else "sound-${random.nextLong()}"
        return SimulatedContent(text, isDeadly = false)
    }

    fun send(content: SimulatedContent) = routers[random.nextInt(routerCount)].receive(content)

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
        private val contents = mutableMapOf<RequestNumber, SimulatedContent>()
        var tables = initialForwarding(settings, SessionId(name), seed + index.toLong(), Timestamp(now))
            private set

        fun receive(content: SimulatedContent) {
            val number = RequestNumber(nextNumber++)
            val ids = listOf("shared", content.text)
            val prompt = PromptShape(PART_TOKENS * ids.size, PART_TOKENS, ids.map { PromptPart(it, PART_TOKENS) })
                .takeIf { route.hasPrompt }
            val call = "call-${number.value}"
            contents[number] = content
            run(
                listOf(
                    RequestArrived(
                        number,
                        RequestHead(call, "desk.example", route.path, KEY, 4_000, prompt, content.digest),
                    ),
                ),
            )
        }

        fun runIfDue() {
            val due = machine.nextDue(tables)
            if (due != null && due.millis <= now) run(emptyList())
        }

        fun run(messages: List<ForwardingMessage>) {
            val step = machine.run(tables, Tick(Timestamp(now), WallTime(now), messages))
            tables = step.tables
            messages.filterIsInstance<AttemptEnded>().filter { it.result is Delivered }
                .forEach { deliveredAt[contents.getValue(it.number).text] = now }
            step.effects.forEach(::perform)
        }

        private fun perform(effect: ForwardingEffect) {
            when (effect) {
                is SendAttempt -> {
                    val content = contents.getValue(effect.number)
                    schedule { upstreams.send(name, effect, content, now) }
                }
                is RefuseRequest -> handleRefusal(contents.getValue(effect.number), effect)
                is SendReport -> schedule { sendReport(effect.report) }
                else -> Unit
            }
        }

        private fun handleRefusal(content: SimulatedContent, refusal: RefuseRequest) {
            if (content.isDeadly) return
            if (refusal.reason == RefusalReason.REQUEST_QUARANTINED) quarantinedAt[content.text] = now
            if (content.repeats >= MAXIMUM_REPEATS) return
            val next = SimulatedContent(content.text, isDeadly = false, content.repeats + 1)
            schedule(REPEAT_MILLIS) { send(next) }
        }

        private fun sendReport(report: RouterReport) {
            if (index in cutOff) receiveAnswer(null) else control.report(report, ::receiveAnswer)
        }

        private fun receiveAnswer(answer: ReportAnswer?) {
            val configuration = configurationOf(1, null).takeIf { tables.configuration == null }
            val message = if (answer == null) ReportLost("unreachable") else ReportAnswered(answer, configuration)
            schedule { run(listOf(message)) }
        }
    }
}
