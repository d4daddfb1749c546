/**
 * The load of a site with long prompts: streams of two seconds at eight engines, of which one in seven follows a prompt
 * of 12,000 tokens on average and up to 50,000. An engine reads its prompts one after the other between the tokens of
 * the streams, so that reading 20,000 tokens without a break holds up each stream there for longer than callers accept.
 */
package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.PromptPart
import org.ibismoor.forwarding.api.PromptShape
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.RouteRow
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.forwarding.api.UpstreamSelection
import org.ibismoor.forwarding.api.WorkKind
import org.ibismoor.forwarding.internal.engineAwareSelection
import org.ibismoor.forwarding.internal.hasLongPrompt
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

private const val ENGINE_COUNT = 8
private const val REQUESTS_PER_SECOND = 45
private const val RUN_MILLIS = 120_000L
private const val STREAM_MILLIS = 2_000L
private const val TOKENS_PER_MILLI = 64L
private const val PAUSE_TOKENS = 20_000L
private const val MAXIMUM_PROMPT_TOKENS = 50_000.0
private const val SEED_COUNT = 5

class LongPromptTest : StringSpec({
    "long prompts hold up at most a quarter of the streams that they do with a choice by the least prompt tokens" {
        // Guards against long prompts at engines with many streams, each of which then pauses for too long.
        val own = (0 until SEED_COUNT).map { heldUpShare(it, engineAwareSelection()) }.average()
        val baseline = (0 until SEED_COUNT).map { heldUpShare(it, leastTokens()) }.average()
        own shouldBeLessThan baseline / 4
    }
})

private fun leastTokens() = UpstreamSelection { candidates, _, _, _ -> candidates.minBy { it.pendingPromptTokens } }

private class Stream(val until: Long) {
    var isHeldUp = false
}

private class Engine(index: Int) {
    val id = UpstreamId("engine-$index")
    private val entry =
        UpstreamEntry(id, UpstreamGroupId("engines"), "10.1.0.$index:80", FailureDomainId("a"), 64, false, 0)
    private val unread = ArrayDeque<Long>()
    private var readWithoutBreak = 0L
    private val streams = mutableListOf<Stream>()
    private var longPromptAt: Timestamp? = null
    val ended = mutableListOf<Stream>()

    fun add(request: RequestRow) {
        unread.addLast(checkNotNull(request.head.prompt).inputTokens)
        if (request.hasLongPrompt()) longPromptAt = Timestamp(0)
    }

    /** Reads for a millisecond; a prompt that is read becomes a stream. */
    fun run(now: Long) {
        streams.filter { it.until <= now }.also(streams::removeAll).also(ended::addAll)
        val left = unread.firstOrNull()
        if (left == null) {
            readWithoutBreak = 0
            return
        }
        readWithoutBreak += TOKENS_PER_MILLI
        if (readWithoutBreak >= PAUSE_TOKENS) streams.forEach { it.isHeldUp = true }
        unread.removeFirst()
        if (left > TOKENS_PER_MILLI) {
            unread.addFirst(left - TOKENS_PER_MILLI)
        } else {
            streams += Stream(now + STREAM_MILLIS)
        }
    }

    fun row() = UpstreamRow(
        entry,
        inFlight = unread.size + streams.size,
        pendingPromptTokens = unread.sum(),
        longPromptAt = longPromptAt,
    )
}

/** Fraction of the streams that an engine held up. */
private fun heldUpShare(seed: Int, selection: UpstreamSelection): Double {
    val random = Random(seed)
    val engines = List(ENGINE_COUNT) { Engine(it) }
    var number = 0L
    for (now in 0 until RUN_MILLIS) {
        engines.forEach { it.run(now) }
        if (random.nextInt(1_000) < REQUESTS_PER_SECOND) {
            val request = requestOf(number++, promptTokens(random))
            val rows = engines.map { it.row() }
            val chosen = selection.choose(rows, request, Timestamp(0), SeededRandom(random.nextLong()))
            engines.single { it.id == chosen.entry.id }.add(request)
        }
    }
    val ended = engines.flatMap { it.ended }
    return ended.count { it.isHeldUp } / ended.size.toDouble()
}

/** A long prompt has 12,000 tokens on average, others 1,300. */
private fun promptTokens(random: Random): Long {
    val spread = exp(random.asJavaRandom().nextGaussian())
    val isLong = random.nextInt(7) == 0
    return (if (isLong) 7_300 * spread else 800 * spread).coerceAtMost(MAXIMUM_PROMPT_TOKENS).toLong()
}

private fun requestOf(number: Long, tokens: Long): RequestRow {
    val prompt = PromptShape(tokens, 400, listOf(PromptPart("own-$number", tokens)))
    val head = RequestHead("call-$number", "desk.example", "/quote/1", null, 15_000, prompt)
    val route = RouteRow(
        id = RouteId("quote"),
        host = "desk.example",
        pathPrefix = "/quote/",
        kind = WorkKind.STREAM,
        timeoutMillis = 15_000,
        objectiveMillis = 1_000,
        priority = 0,
        targets = persistentListOf(),
        maximumAttempts = 1,
        isPublic = false,
    )
    return RequestRow(
        number = RequestNumber(number),
        head = head,
        route = route,
        group = UpstreamGroupId("engines"),
        organisation = null,
        priority = 0,
        arrivedAt = Timestamp(0),
        dueAt = Timestamp(15_000),
        phase = AwaitingUpstream,
    )
}
