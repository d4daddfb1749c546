package org.ibismoor.ledger

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.AnswerBatch
import org.ibismoor.ledger.api.AppendRecords
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.Cancelled
import org.ibismoor.ledger.api.ClaimKey
import org.ibismoor.ledger.api.CommandFinished
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.FleetAdvanced
import org.ibismoor.ledger.api.HomedKey
import org.ibismoor.ledger.api.IssueShares
import org.ibismoor.ledger.api.MergeCharges
import org.ibismoor.ledger.api.ProposeCommand
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.ReleaseClaim
import org.ibismoor.ledger.api.RequestShares
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settle
import org.ibismoor.ledger.api.Settled
import org.ibismoor.ledger.api.ShareIssue
import org.ibismoor.ledger.api.SharesExhausted
import org.ibismoor.ledger.api.applyCommand

private val wall = WallTime(1_000_000_000_000)

private fun homed(opaque: String) = HomedKey.generate(norte1, wall, opaque).text

class DomainLedgerTest : StringSpec({
    "a settlement frees what it does not charge, and repeated requests get the first answer" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(reserve(1, "k", 60)) shouldBe listOf(Reserved(attempt(1), 60))
        ledger.submit(reserve(1, "k", 60)) shouldBe listOf(Reserved(attempt(1), 60))
        ledger.tables.availableTokens(budgetA) shouldBe 40
        val settle = Settle(attempt(1), key("k"), 25, 200)
        ledger.submit(settle) shouldBe listOf(Settled(attempt(1), 25))
        ledger.submit(settle) shouldBe listOf(Settled(attempt(1), 25))
        ledger.tables.availableTokens(budgetA) shouldBe 75
    }

    "records come before the answers that depend on them, which guards against a charge that is lost in a crash" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(reserve(1, "k", 60))
        val kinds = ledger.effects.filter { it is AppendRecords || it is AnswerBatch }
        kinds.first().shouldBeInstanceOf<AppendRecords>()
        kinds.last().shouldBeInstanceOf<AnswerBatch>()
    }

    "a retry replaces an open reservation, and the replaced attempt cannot settle" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(reserve(1, "k", 60))
        ledger.submit(reserve(2, "k", 60)) shouldBe listOf(Reserved(attempt(2), 60))
        ledger.tables.availableTokens(budgetA) shouldBe 40
        ledger.submit(Settle(attempt(1), key("k"), 5, 200)) shouldBe
            listOf(Refused(attempt(1), RefusalReason.IN_PROGRESS, Outcome.MAY_HAVE_RUN))
    }

    "a charged request runs again at no charge at most three times, and another body under its key is refused" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(reserve(1, "k", 60), Settle(attempt(1), key("k"), 10, 200))
        (2L..4L).forEach { n ->
            ledger.submit(reserve(n, "k", 60)) shouldBe listOf(Reserved(attempt(n), 60, isRerun = true))
            ledger.submit(Settle(attempt(n), key("k"), 10, 200)) shouldBe listOf(Settled(attempt(n), 0))
        }
        ledger.submit(reserve(5, "k", 60)) shouldBe
            listOf(Refused(attempt(5), RefusalReason.RERUN_LIMIT, Outcome.RAN))
        ledger.submit(reserve(6, "k", 60).copy(body = BodyDigest("other"))) shouldBe
            listOf(Refused(attempt(6), RefusalReason.KEY_REUSED, Outcome.NOT_RUN))
        ledger.tables.availableTokens(budgetA) shouldBe 90
    }

    "a cancel that arrives before its reserve request takes effect, since nothing else would free the reservation" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(Cancel(attempt(1), key("k"))) shouldBe listOf(Cancelled(attempt(1)))
        ledger.submit(reserve(1, "k", 60))?.single().shouldBeInstanceOf<Refused>().reason shouldBe
            RefusalReason.CANCELLED
        ledger.tables.availableTokens(budgetA) shouldBe 100
    }

    "a session without contact expires: idempotent work is released, claimed work charged, a late settle refused" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(reserve(1, "k", 30), reserve(2, homed("x"), 40, isClaim = true))
        ledger.advance(5_999)
        ledger.tables.durable.reservations.size shouldBe 2
        ledger.advance(1)
        ledger.tables.durable.reservations.size shouldBe 0
        ledger.tables.availableTokens(budgetA) shouldBe 60
        listOf(Settle(attempt(1), key("k"), 5, 200), Settle(attempt(2), key(homed("x")), 5, 200)).forEach {
            ledger.submit(it)?.single().shouldBeInstanceOf<Refused>().reason shouldBe RefusalReason.SESSION_EXPIRED
        }
        ledger.submit(reserve(3, homed("x"), 40, isClaim = true)) shouldBe
            listOf(Refused(attempt(3), RefusalReason.CLAIMED, Outcome.MAY_HAVE_RUN))
    }

    "a homed key is claimed once, only where it is homed, and a retry gets the recorded status" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(reserve(1, homed("x"), 10, isClaim = true)) shouldBe listOf(Reserved(attempt(1), 10))
        ledger.submit(reserve(2, homed("x"), 10, isClaim = true)) shouldBe
            listOf(Refused(attempt(2), RefusalReason.CLAIMED, Outcome.MAY_HAVE_RUN))
        ledger.submit(Settle(attempt(1), key(homed("x")), 10, 201))
        ledger.submit(reserve(3, homed("x"), 10, isClaim = true)) shouldBe
            listOf(Refused(attempt(3), RefusalReason.ALREADY_RAN, Outcome.RAN, 201))
        val foreign = HomedKey.generate(norte2, wall, "x").text
        ledger.submit(reserve(4, foreign, 10, isClaim = true)) shouldBe
            listOf(Refused(attempt(4), RefusalReason.HOME_UNAVAILABLE, Outcome.MAY_HAVE_RUN))
        val old = HomedKey.generate(norte1, WallTime(wall.epochMillis - 86_500_000), "x").text
        ledger.submit(reserve(5, old, 10, isClaim = true)) shouldBe
            listOf(Refused(attempt(5), RefusalReason.KEY_EXPIRED, Outcome.MAY_HAVE_RUN))
    }

    "a plain key is claimed at the quorum first, and without its answer the refusal says MAY_HAVE_RUN" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(reserve(1, "p", 10, isClaim = true)) shouldBe null
        val claim = ledger.effects.filterIsInstance<ProposeCommand>().map { it.command }
            .filterIsInstance<ClaimKey>().single()
        ledger.tables.availableTokens(budgetA) shouldBe 90
        ledger.tick(CommandFinished(claim, Applied)).filterIsInstance<AnswerBatch>().single().answers shouldBe
            listOf(Reserved(attempt(1), 10))
        ledger.submit(Cancel(attempt(1), key("p"))) shouldBe listOf(Cancelled(attempt(1)))
        ledger.effects.filterIsInstance<ProposeCommand>().last().command shouldBe
            ReleaseClaim(key("p"), attempt(1))
        ledger.submit(reserve(2, "q", 10, isClaim = true)) shouldBe null
        ledger.advance(1_500).filterIsInstance<AnswerBatch>().single().answers shouldBe
            listOf(Refused(attempt(2), RefusalReason.QUORUM_UNAVAILABLE, Outcome.MAY_HAVE_RUN))
        ledger.tables.availableTokens(budgetA) shouldBe 100
    }

    "a reservation beyond the share waits for more tokens and is refused only if none arrive" {
        val fleet = fleetWith(100, norte1 to 20)
        val ledger = LedgerDriver(fleet)
        ledger.submit(reserve(1, "k", 50)) shouldBe null
        ledger.effects.filterIsInstance<RequestShares>().single().needs.single().urgent shouldBe 30
        val more = applyCommand(fleet, IssueShares(listOf(ShareIssue(budgetA, norte1, 40)))).tables
        ledger.tick(FleetAdvanced(more, listOf(budgetA))).filterIsInstance<AnswerBatch>().single().answers shouldBe
            listOf(Reserved(attempt(1), 50))
        ledger.submit(reserve(2, "l", 50)) shouldBe null
        ledger.advance(499).filterIsInstance<AnswerBatch>().shouldBeEmpty()
        ledger.advance(1).filterIsInstance<AnswerBatch>().single().answers shouldBe
            listOf(Refused(attempt(2), RefusalReason.SHARE_EXHAUSTED, Outcome.NOT_RUN))
        ledger.submit(Extend(attempt(1), key("k"), 90)) shouldBe null
        ledger.tick(SharesExhausted(listOf(budgetA))).filterIsInstance<AnswerBatch>().single().answers shouldBe
            listOf(Refused(attempt(1), RefusalReason.BUDGET_EXHAUSTED, Outcome.MAY_HAVE_RUN))
    }

    "a batch that reaches no leader is sent again until it is merged" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.tick()
        ledger.tick(CommandFinished(ledger.tables.merge.inFlight!!, Applied))
        ledger.submit(reserve(1, "k", 60), Settle(attempt(1), key("k"), 10, 200))
        ledger.advance(200)
        val first = ledger.tables.merge.inFlight!!
        first.charges.map { it.key } shouldBe listOf(key("k"))
        ledger.tick(CommandFinished(first, null))
        ledger.advance(200)
        val second = ledger.effects.filterIsInstance<ProposeCommand>().last().command
            .shouldBeInstanceOf<MergeCharges>()
        second.charges shouldBe first.charges
        ledger.tick(CommandFinished(second, Applied))
        ledger.tables.durable.mergedCharge shouldBe 1
        ledger.tables.merge.inFlight shouldBe null
    }

    "a reservation that another session has replaced does not expire with the first session" {
        val ledger = LedgerDriver(fleetWith(100, norte1 to 100))
        ledger.submit(reserve(1, "k", 30))
        ledger.now = Timestamp(3_000)
        ledger.submit(reserve(1, "k", 30, session = SessionId("s2")))
        ledger.advance(3_500)
        ledger.tables.durable.reservations.getValue(key("k")).attempt.session shouldBe SessionId("s2")
    }
})
