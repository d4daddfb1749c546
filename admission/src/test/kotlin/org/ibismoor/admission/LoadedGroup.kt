/**
 * One upstream group under load in virtual time: callers of 24 organisations send requests of three kinds, and a fixed
 * number of slots serves them. With the queue of this module, or, as before it, a router that sends everything at once
 * to upstreams with queues of their own, which refuse what is beyond.
 */
package org.ibismoor.admission

import org.ibismoor.admission.api.AdmissionTables
import org.ibismoor.admission.api.QueueEntry
import org.ibismoor.admission.api.drawRetryAfterMillis
import org.ibismoor.admission.api.fairQueue
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId

internal const val SLOTS = 32
internal const val ORGANISATIONS = 24
private const val MEAN_WORK_MILLIS = 500.0
private const val UPSTREAM_QUEUE = 2 * SLOTS
private const val END_MILLIS = 40_000L

/** Before this time the load is usual, so that the router learns the usual rates. */
internal const val CHANGE_MILLIS = 15_000L
private const val MINIMUM_RETRY_MILLIS = 250L
private const val TOKENS_PER_MILLI = 4
private val GROUP = UpstreamGroupId("engines")
private val POLICY = fairQueue(quantumTokens = 256)

internal enum class Kind(val objectiveMillis: Long, val deadlineMillis: Long) {
    QUOTE(406, 3_054),
    CHAT(650, 4_800),
    REVIEW(1_215, 15_240),
}

/** What callers send after [CHANGE_MILLIS], and what is left to serve it. */
internal data class LoadPattern(
    val usualLoad: Double,
    val load: Double = usualLoad,
    val hotOrganisation: Int? = null,
    val hotSubjectPercent: Long = 0,
    val repeats: Int = 0,
    val slots: Int = SLOTS,
)

internal data class Call(
    val number: Long,
    val organisation: Int,
    val kind: Kind,
    val workMillis: Long,
    val isHotSubject: Boolean,
    val arrivedAt: Timestamp,
    val repeats: Int,
) {
    val dueAt: Timestamp get() = arrivedAt + kind.deadlineMillis
    val cost: Long get() = workMillis * TOKENS_PER_MILLI
    val digest: RequestDigest get() = RequestDigest("$number")
}

/** [served] of the calls after the change of the load were answered before their deadline. */
internal class Outcome(val calls: List<Call>, private val served: Set<Long>) {
    fun share(isCounted: (Call) -> Boolean = { true }): Double {
        val counted = calls.filter(isCounted)
        return counted.count { it.number in served }.toDouble() / counted.size
    }

    fun lowestOrganisation(isCounted: (Int) -> Boolean = { true }): Double =
        (0 until ORGANISATIONS).filter(isCounted).minOf { id -> share { it.organisation == id } }

    fun lowestKind(): Double = Kind.values().minOf { kind -> share { it.kind == kind } }

    /** The lowest share of the largest tenth of a kind, as a part of the share of that kind. */
    fun lowestLargest(): Double = Kind.values().minOf { kind ->
        val works = calls.filter { it.kind == kind }.map { it.workMillis }.sorted()
        val limit = works[works.size * 9 / 10]
        share { it.kind == kind && it.workMillis >= limit } / share { it.kind == kind }
    }

    override fun toString(): String =
        "all %.2f, lowest organisation %.2f, lowest kind %.2f, largest tenth %.2f of its kind"
            .format(share(), lowestOrganisation(), lowestKind(), lowestLargest())
}

internal class LoadedGroup(private val pattern: LoadPattern, private val isQueueing: Boolean, seed: Long = 7) {
    private var random = SeededRandom(seed)
    private var now = Timestamp(0)
    private var numbers = 0L
    private var running = DueQueue.empty<Call>()
    private var inFlight = 0
    private var tables = AdmissionTables<Call>()
    private var starts = DueQueue.empty<Call>()
    private var upstreamQueue = ArrayDeque<Call>()
    private var repeated = listOf<Call>()
    private val calls = mutableListOf<Call>()
    private val served = mutableSetOf<Long>()
    val retryTimes = mutableListOf<Long>()
    var longestQueue = 0
        private set

    fun run(): Outcome {
        while (now.millis < END_MILLIS) {
            now += 1
            endWork()
            expire()
            val again = repeated
            repeated = emptyList()
            again.forEach(::arrive)
            repeat(arrivals()) {
                val call = newCall()
                calls += call
                arrive(call)
            }
            startQueued()
        }
        val lastDue = END_MILLIS - Kind.REVIEW.deadlineMillis
        return Outcome(calls.filter { it.arrivedAt.millis in CHANGE_MILLIS..lastDue + CHANGE_MILLIS / 2 }, served)
    }

    private val isChanged: Boolean get() = now.millis >= CHANGE_MILLIS
    private val slots: Int get() = if (isChanged) pattern.slots else SLOTS

    private fun arrivals(): Int {
        val load = if (isChanged) pattern.load else pattern.usualLoad
        val hot = if (isChanged && pattern.hotOrganisation != null) 1 + 6.0 / ORGANISATIONS else 1.0
        val perMilli = load * hot * SLOTS / MEAN_WORK_MILLIS
        return if (draw(1_000_000) < perMilli * 1_000_000) 1 else 0
    }

    private fun newCall(): Call {
        val organisation = when {
            pattern.hotOrganisation == null || !isChanged -> draw(ORGANISATIONS.toLong())
            else -> draw(ORGANISATIONS + 6L).let { if (it < ORGANISATIONS) it else pattern.hotOrganisation.toLong() }
        }
        val size = draw(100)
        val work = when {
            size < 60 -> 200 + draw(200)
            size < 90 -> 400 + draw(400)
            else -> 1_000 + draw(1_200)
        }
        val isHot = draw(100) < pattern.hotSubjectPercent
        val kind = Kind.values()[draw(3).toInt()]
        return Call(numbers++, organisation.toInt(), kind, work, isHot, now, if (isChanged) pattern.repeats else 0)
    }

    private fun arrive(call: Call) = if (isQueueing) enqueue(call) else sendAtOnce(call)

    private fun sendAtOnce(call: Call) {
        when {
            inFlight < slots -> start(call)
            upstreamQueue.size < UPSTREAM_QUEUE -> upstreamQueue += call
            else -> refuse(call)
        }
    }

    private fun enqueue(call: Call) {
        val organisation = OrganisationId("${call.organisation}")
        tables = tables.copy(
            rates = tables.rates.withArrival(organisation, now),
            returns = tables.returns.withoutDue(now),
        )
        val row = tables.row(GROUP)
        val startBy = call.dueAt + -row.expectedWorkMillis(RouteId(call.kind.name), call.cost, call.dueAt - now)
        val objectiveAt = call.arrivedAt + call.kind.objectiveMillis
        val entry = QueueEntry(
            id = call,
            organisation = organisation,
            priority = 0,
            weight = tables.rates.weightOf(organisation, now),
            cost = call.cost,
            order = (3 * startBy.millis + objectiveAt.millis) / 4,
            isSurplus = tables.rates.isAboveUsual(organisation) || tables.returns.isEarly(call.digest, now),
        )
        val hasRoom = inFlight < slots && row.queue.size == 0
        if (!hasRoom && now + row.expectedWaitMillis(entry, POLICY, inFlight, now) > startBy) return refuse(call)
        tables = tables.withQueued(GROUP, entry, POLICY)
        longestQueue = maxOf(longestQueue, tables.queued.size)
        starts = starts.plus(startBy, call)
    }

    private fun startQueued() {
        while (inFlight < slots) {
            val call = if (isQueueing) dequeue() else upstreamQueue.removeFirstOrNull()
            start(call ?: return)
        }
    }

    private fun dequeue(): Call? {
        val dequeued = POLICY.dequeue(tables.row(GROUP).queue) ?: return null
        tables = tables.withDequeued(GROUP, dequeued)
        return dequeued.entry.id
    }

    private fun start(call: Call) {
        inFlight += 1
        running = running.plus(now + call.workMillis, call)
        val row = tables.row(GROUP)
        tables = tables.withRow(GROUP, row.copy(releases = row.releases.withRelease(now)))
    }

    private fun endWork() {
        val due = running.take(now)
        running = due.rest
        due.entries.forEach { (_, call) ->
            inFlight -= 1
            if (now <= call.dueAt) served += call.number
            val row = tables.row(GROUP)
            tables = tables.withRow(GROUP, row.withWork(RouteId(call.kind.name), call.cost, call.workMillis))
        }
    }

    private fun expire() {
        val due = starts.take(now)
        starts = due.rest
        due.entries.map { it.id }.filter { it in tables.queued }.forEach { call ->
            tables = tables.withoutQueued(call, POLICY)
            refuse(call)
        }
    }

    private fun refuse(call: Call) {
        if (isQueueing) {
            val emptying = tables.row(GROUP).emptyingMillis(inFlight, now)
            val retryAfter = drawRetryAfterMillis(MINIMUM_RETRY_MILLIS, emptying, call.dueAt - now, random)
            random = random.advance()
            retryTimes += retryAfter
            tables = tables.copy(returns = tables.returns.withRefusal(call.digest, now + retryAfter))
        }
        if (call.repeats > 0) repeated = repeated + call.copy(repeats = call.repeats - 1)
    }

    private fun draw(bound: Long): Long = random.below(bound).also { random = random.advance() }
}
