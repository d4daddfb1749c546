/**
 * Order in which queued requests are taken, and the expected wait of a request.
 */
package org.ibismoor.admission

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.ibismoor.admission.api.QueueEntry
import org.ibismoor.admission.api.QueueRow
import org.ibismoor.admission.api.RateTable
import org.ibismoor.admission.api.ReturnTable
import org.ibismoor.admission.api.drawRetryAfterMillis
import org.ibismoor.admission.api.expectedWaitMillis
import org.ibismoor.admission.api.fairQueue
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp

private val POLICY = fairQueue()

class QueueOrderTest : StringSpec({
    "a higher priority goes first, and surplus requests of any priority last" {
        // Guards against urgent requests behind others, and against retries that go before first attempts.
        val queue = queueOf(
            entry("surplus").copy(isSurplus = true),
            entry("low", priority = 2),
            entry("high", priority = 0),
            entry("middle", priority = 1),
        )
        idsOf(queue) shouldContainExactly listOf("high", "middle", "low", "surplus")
    }

    "within one organisation the earlier order goes first, also after removals" {
        // Guards against near deadlines behind far ones, and against removed requests that are taken.
        val late = entry("late", order = 900)
        val early = entry("early", order = 10)
        val queue = queueOf(late, early, entry("middle", order = 500))
        idsOf(queue) shouldContainExactly listOf("early", "middle", "late")
        idsOf(POLICY.remove(queue, early)) shouldContainExactly listOf("middle", "late")
        idsOf(POLICY.remove(POLICY.remove(queue, early), early)) shouldContainExactly listOf("middle", "late")
    }

    "organisations take turns by weight" {
        // Guards against an organisation with many requests that holds up the others.
        val many = List(60) { entry("a$it", organisation = "a", weight = 1, order = it.toLong()) }
        val heavy = List(60) { entry("b$it", organisation = "b", weight = 2, order = it.toLong()) }
        val first = idsOf(queueOf(*(many + heavy).toTypedArray())).take(30)
        first.count { it.startsWith("b") } shouldBeInRange 18..22
    }

    "an entry that was put back keeps its turn" {
        // Guards against an organisation that loses turns to requests that need another upstream.
        val queue = queueOf(entry("a", organisation = "a"), entry("b", organisation = "b"))
        val dequeued = checkNotNull(POLICY.dequeue(queue))
        val restored = POLICY.restore(dequeued.remaining, dequeued.entry)
        restored.size shouldBe 2
        idsOf(restored).toSet() shouldBe setOf("a", "b")
    }

    "requests of lower ranks, earlier ones of the organisation and turns of others are ahead" {
        // Guards against a wait that counts the whole queue for a request that goes first.
        val busy = List(20) { entry("a$it", organisation = "a", priority = 1, order = it * 1_000L) }
        val queue = queueOf(*busy.toTypedArray(), entry("urgent", priority = 0))
        POLICY.countAhead(queue, entry("x", organisation = "b", priority = 0)) shouldBe 1
        POLICY.countAhead(queue, entry("x", organisation = "b", priority = 1)) shouldBe 2
        POLICY.countAhead(queue, entry("x", organisation = "a", priority = 1, order = 4_500)) shouldBe 6
        POLICY.countAhead(queue, entry("x", organisation = "a", priority = 1).copy(isSurplus = true)) shouldBe 21
        expectedWaitMillis(ahead = 9, ratePerMilli = 0.01) shouldBe 1_000
        expectedWaitMillis(ahead = 9, ratePerMilli = null) shouldBe 0
    }

    "an organisation above three times its usual rate is found, and one at twice the rate is not" {
        // Guards against an excess that counts as usual, and against a limit that common peaks reach.
        var rates = RateTable()
        (0L until 20_000L step 100).forEach { millis ->
            rates = rates.withArrival(OrganisationId("steady"), Timestamp(millis))
            rates = rates.withArrival(OrganisationId("other"), Timestamp(millis))
        }
        var above = 0
        var peak = 0
        (20_000L until 24_000L step 10).forEach { millis ->
            rates = rates.withArrival(OrganisationId("steady"), Timestamp(millis))
            if (rates.isAboveUsual(OrganisationId("steady"))) above += 1
            if (millis % 50 == 0L) rates = rates.withArrival(OrganisationId("other"), Timestamp(millis))
            if (rates.isAboveUsual(OrganisationId("other"))) peak += 1
        }
        peak shouldBe 0
        above shouldBeInRange 100..280
    }

    "a caller that returns before its time is found, and one that waits is not" {
        // Guards against callers that gain by ignoring the time to return, and against a table that only grows.
        val digest = RequestDigest("content")
        val returns = ReturnTable().withRefusal(digest, Timestamp(500))
        returns.isEarly(digest, Timestamp(499)) shouldBe true
        returns.isEarly(digest, Timestamp(500)) shouldBe false
        returns.withoutDue(Timestamp(500)).returns.size shouldBe 0
        returns.withRefusal(digest, Timestamp(900)).withoutDue(Timestamp(500)).isEarly(digest, Timestamp(600)) shouldBe
            true
    }

    "times to return lie within what callers honour" {
        // Guards against times that callers do not keep, after which they return together.
        var random = SeededRandom(3)
        repeat(200) {
            random = random.advance()
            drawRetryAfterMillis(250, 4_000, 15_000, random) shouldBeInRange 250L..4_250L
            drawRetryAfterMillis(250, 4_000, 3_000, random) shouldBeInRange 250L..1_000L
            drawRetryAfterMillis(250, 0, 3_000, random) shouldBeInRange 250L..500L
        }
    }
})

private fun entry(
    id: String,
    organisation: String = "a",
    priority: Int = 0,
    weight: Int = 1,
    order: Long = 0,
) = QueueEntry(id, OrganisationId(organisation), priority, weight, cost = 2_048, order)

private fun queueOf(vararg entries: QueueEntry<String>): QueueRow<String> =
    entries.fold(QueueRow()) { queue, entry -> POLICY.enqueue(queue, entry) }

private fun idsOf(queue: QueueRow<String>): List<String> =
    generateSequence(POLICY.dequeue(queue)) { POLICY.dequeue(it.remaining) }.map { it.entry.id }.toList()
