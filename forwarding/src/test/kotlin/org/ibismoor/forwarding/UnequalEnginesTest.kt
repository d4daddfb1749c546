/**
 * Load: groups of long prompts at engines of which one in four works at half the speed of the others. An engine
 * processes its prompts one after the other.
 */
package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.EventGapRow
import org.ibismoor.forwarding.api.PromptPart
import org.ibismoor.forwarding.api.PromptShape
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.RouteRow
import org.ibismoor.forwarding.api.RouteTarget
import org.ibismoor.forwarding.api.UpstreamLoad
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.forwarding.api.WorkKind
import org.ibismoor.forwarding.internal.WorkDurations
import org.ibismoor.forwarding.internal.engineAwareSelection

private const val ENGINES = 12
private const val REQUESTS = 3_000

/** Prompts arrive in groups, as those of callers that were refused together or follow the same event. */
private const val GROUP_SIZE = 12
private const val GROUP_INTERVAL_MILLIS = 216L
private const val OBJECTIVE_MILLIS = 600.0
private const val PROMPT_TOKENS = 9_000L
private const val FAST_TOKENS_PER_MILLI = 60.0
private const val SLOW_TOKENS_PER_MILLI = 27.0
private val GROUP = UpstreamGroupId("engines")

class UnequalEnginesTest : StringSpec({
    "measured gaps keep prompts from waiting behind each other at the slow engines" {
        // Guards against equal shares for all engines, with which those at half speed fall behind.
        lateRequests(isMeasured = false) shouldBeGreaterThan REQUESTS / 50
        lateRequests(isMeasured = true) shouldBe 0
    }

    "without a reported duration the expected duration is the usual one" {
        // Guards against a change of the selection among upstreams that do not report how long their work takes.
        val rows = List(ENGINES) { engine(it).copy(load = UpstreamLoad(3, 0, 64, Timestamp(0))) }
        rows.forEach { WorkDurations(rows, Timestamp(0)).of(it) shouldBe 1.0 }
    }

    "a reported duration loses its weight with its age" {
        // Guards against an upstream that is avoided for a moment that has passed.
        val row = engine(0).copy(load = UpstreamLoad(3, 0, 64, Timestamp(0), workTimePercent = 250))
        WorkDurations(listOf(row), Timestamp(0)).of(row) shouldBe 2.5
        WorkDurations(listOf(row), Timestamp(400)).of(row).shouldBeBetween(1.7, 1.8, 0.0)
        WorkDurations(listOf(row), Timestamp(2_000)).of(row) shouldBe 1.0
    }

    "a measurement that is not renewed loses its weight" {
        // Guards against an upstream that is hardly used because it was slow a minute ago.
        val rows = List(ENGINES) { engine(it).copy(eventGap = EventGapRow(20.0, 4.0, Timestamp(0))) }
        val slow = rows.first().copy(eventGap = EventGapRow(60.0, 4.0, Timestamp(0)))
        val all = listOf(slow) + rows.drop(1)
        val early = WorkDurations(all, Timestamp(0)).of(slow)
        val late = WorkDurations(all, Timestamp(120_000)).of(slow)
        early.shouldBeBetween(2.0, 3.0, 0.0)
        late.shouldBeBetween(1.0, 1.2, 0.0)
    }
})

/** Requests whose first event is later than the objective; [isMeasured] if the gaps of all engines are known. */
private fun lateRequests(isMeasured: Boolean): Int {
    val selection = engineAwareSelection()
    val freeAt = DoubleArray(ENGINES)
    var random = SeededRandom(7)
    return (0 until REQUESTS).count { number ->
        val now = number / GROUP_SIZE * GROUP_INTERVAL_MILLIS
        val rows = List(ENGINES) { index -> engineAt(index, freeAt[index] - now, Timestamp(now), isMeasured) }
        val chosen = selection.choose(rows, requestOf(number), Timestamp(now), random)
        random = random.advance()
        val index = rows.indexOf(chosen)
        freeAt[index] = maxOf(freeAt[index], now.toDouble()) + PROMPT_TOKENS / tokensPerMilli(index)
        freeAt[index] - now > OBJECTIVE_MILLIS
    }
}

private fun tokensPerMilli(index: Int): Double = if (index % 4 == 0) SLOW_TOKENS_PER_MILLI else FAST_TOKENS_PER_MILLI

/** The engine as a router sees it that knows the prompts which the engine has still to process. */
private fun engineAt(index: Int, busyMillis: Double, now: Timestamp, isMeasured: Boolean): UpstreamRow {
    val pending = (busyMillis * tokensPerMilli(index)).toLong().coerceAtLeast(0)
    val gap = EventGapRow(1_000 / tokensPerMilli(index), weight = 10.0, updatedAt = now).takeIf { isMeasured }
    return engine(index).copy(pendingPromptTokens = pending, eventGap = gap)
}

private fun engine(index: Int): UpstreamRow =
    UpstreamRow(UpstreamEntry(UpstreamId("engine-$index"), GROUP, "10.2.0.$index:80", DOMAIN, 64, false, 0))

private val DOMAIN = FailureDomainId("north")

private fun requestOf(number: Int): RequestRow {
    val prompt = PromptShape(PROMPT_TOKENS, 50, listOf(PromptPart("own-$number", PROMPT_TOKENS)))
    return RequestRow(
        number = RequestNumber(number.toLong()),
        head = RequestHead("call-$number", "desk.example", "/chat/", null, 4_000, prompt, RequestDigest("$number")),
        route = ROUTE,
        group = GROUP,
        organisation = null,
        priority = 0,
        arrivedAt = Timestamp(0),
        dueAt = Timestamp(4_000),
        phase = AwaitingUpstream,
    )
}

private val ROUTE = RouteRow(
    id = RouteId("chat"),
    host = "desk.example",
    pathPrefix = "/chat/",
    kind = WorkKind.STREAM,
    timeoutMillis = 4_000,
    objectiveMillis = 600,
    priority = 0,
    targets = persistentListOf(RouteTarget(GROUP, 1)),
    maximumAttempts = 1,
    isPublic = true,
)
