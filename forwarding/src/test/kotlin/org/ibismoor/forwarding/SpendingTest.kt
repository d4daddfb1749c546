package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.EndedSession
import org.ibismoor.coordination.api.SpendingRecording
import org.ibismoor.core.api.SessionId
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.LoanRequested
import org.ibismoor.forwarding.api.RecordSpending
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.SendReport
import org.ibismoor.forwarding.api.SpendingRecordFailed
import org.ibismoor.forwarding.api.SpendingRecorded
import org.ibismoor.forwarding.api.SpendingRow
import kotlin.random.Random

private const val REQUEST_COST = 110L

class SpendingTest : StringSpec({
    "a request is not sent before the disk has recorded that its tokens may be spent" {
        // Guards against spending that a restarted router reports as unspent, so that it is issued again.
        val router = recordingRouter()
        val number = router.sendChat()
        router.attemptsOf(number).shouldBeEmpty()
        router.completeRecord()
        router.attemptsOf(number) shouldHaveSize 1
    }

    "most requests find a recorded limit that covers them" {
        // Guards against a wait for the disk with each request.
        val router = recordingRouter()
        repeat(100) {
            val number = router.sendChat()
            if (router.attemptsOf(number).isEmpty()) router.completeRecord()
            router.endAttempt(number, Delivered(1, load = null))
            router.advance(100)
        }
        router.effects.filterIsInstance<RecordSpending>().size shouldBeLessThanOrEqual 30
    }

    "a request that waits for the disk requests no tokens from the leader" {
        // Guards against tokens that are issued although the router holds enough of them.
        val router = recordingRouter()
        router.sendChat()
        router.tables.allowances.getValue(COUNCIL).shortfall shouldBe 0
    }

    "a router whose disk fails stops recording and spends again once the leader has confirmed it" {
        // Guards against a full disk that stops the service, and against spending beyond the record before the leader
        // knows that the record is incomplete.
        val router = recordingRouter()
        router.isControlUnreachable = true
        val number = router.sendChat()
        router.post(SpendingRecordFailed("no space left"))
        router.advance(100)
        router.attemptsOf(number).shouldBeEmpty()
        router.lastReport().recording shouldBe SpendingRecording.STOPPED
        router.isControlUnreachable = false
        router.confirmReport()
        router.attemptsOf(number) shouldHaveSize 1
    }

    "a disk that does not answer while requests wait counts as failed" {
        val router = recordingRouter()
        repeat(4) {
            router.sendChat()
            router.advance(250)
        }
        router.lastReport().recording shouldBe SpendingRecording.STOPPED
        router.sendChat().let { router.attemptsOf(it) shouldHaveSize 1 }
    }

    "the first reports name the earlier sessions on the disk, and later ones do not" {
        // Guards against a router that dies before its first report, so that nobody tells what its predecessor spent.
        val ended = listOf(EndedSession(SessionId("earlier"), mapOf(COUNCIL to 5)))
        val router = RouterHarness(1_000_000, spending = SpendingRow(SpendingRecording.RECORDED, endedSessions = ended))
        router.isControlUnreachable = true
        router.advance(100)
        router.lastReport().endedSessions shouldBe ended
        router.isControlUnreachable = false
        router.start()
        router.lastReport().endedSessions.shouldBeEmpty()
    }

    "spent, reserved and lent tokens never exceed the recorded limit in random sequences of events" {
        repeat(50) { seed -> checkRandomSpending(Random(seed)) }
    }
})

private fun recordingRouter(): RouterHarness =
    RouterHarness(budget = 1_000_000, spending = SpendingRow(SpendingRecording.RECORDED)).start()

private fun RouterHarness.sendChat() = sendRequest("/chat/1", prompt = promptOf(100, REQUEST_COST - 100))

private fun RouterHarness.completeRecord() =
    post(SpendingRecorded(effects.filterIsInstance<RecordSpending>().last().limits))

/** Answers the report in flight as the leader does. */
private fun RouterHarness.confirmReport() {
    post(ReportLost("timeout"))
    advance(400)
}

private fun RouterHarness.lastReport() = effects.filterIsInstance<SendReport>().last().report

private fun checkRandomSpending(random: Random) {
    val router = recordingRouter()
    var recorded = 0L
    var pending: RecordSpending? = null
    repeat(150) {
        val number = router.sendRequest("/chat/1", prompt = promptOf(random.nextLong(50, 900), random.nextLong(1, 300)))
        when (random.nextInt(4)) {
            0 -> if (router.attemptsOf(number).isNotEmpty()) router.endAttempt(number, Delivered(2, load = null))
            1 -> router.post(LoanRequested(0, COUNCIL, random.nextLong(2_000)))
            else -> Unit
        }
        val latest = router.effects.filterIsInstance<RecordSpending>().lastOrNull()
        if (latest !== pending && latest != null) {
            recorded = maxOf(recorded, latest.limits.getValue(COUNCIL))
            pending = latest
            router.post(SpendingRecorded(latest.limits))
        }
        router.advance(random.nextLong(200))
        router.tables.allowances.getValue(COUNCIL).committed shouldBeLessThanOrEqual recorded
    }
    recorded shouldBeGreaterThanOrEqual REQUEST_COST
}
