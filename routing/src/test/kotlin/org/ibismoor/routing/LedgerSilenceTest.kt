package org.ibismoor.routing

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.Cancelled
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settle
import org.ibismoor.routing.api.AnswerCompleted
import org.ibismoor.routing.api.AnswerProgressed
import org.ibismoor.routing.api.CancelAttempt
import org.ibismoor.routing.api.ControlContactReceived
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.ReleaseAnswer
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.StreamId

private const val RESERVED_TOKENS = 60L

/** Enough tokens that a reservation of [RESERVED_TOKENS] is nearly used. */
private const val LONG_ANSWER_TOKENS = 30L

private fun RouterHarness.refuse(
    request: SendLedgerRequest,
    reason: RefusalReason,
    outcome: Outcome = Outcome.NOT_RUN,
): List<RoutingEffect> = send(LedgerAnswered(Refused(request.request.attempt, reason, outcome)))

private fun RouterHarness.grant(request: SendLedgerRequest, amount: Long): List<RoutingEffect> =
    send(LedgerAnswered(Reserved(request.request.attempt, amount)))

private fun List<RoutingEffect>.shouldEndNoAnswer(): List<RoutingEffect> {
    filterIsInstance<RefuseRequest>().shouldBeEmpty()
    filterIsInstance<CancelAttempt>().shouldBeEmpty()
    return this
}

private inline fun <reified R> List<RoutingEffect>.last(): SendLedgerRequest =
    ledgerRequests().last { it.request is R }

private fun RouterHarness.confirmCancellations() =
    tables.abandonedReservations.keys.forEach { send(LedgerAnswered(Cancelled(it))) }

/**
 * Guards against answers that end because a control process or the quorum behind it is silent, although the upstream
 * goes on and the deadline of the request is not reached.
 */
class LedgerSilenceTest : StringSpec({
    fun single() = RouterHarness(RoutingSettings(norte1))

    fun RouterHarness.extendRunning(dispatch: Dispatch): SendLedgerRequest =
        send(AnswerProgressed(dispatch.stream, LONG_ANSWER_TOKENS)).last<Extend>()

    fun RouterHarness.shouldDeliver(dispatch: Dispatch) {
        val completed = send(AnswerCompleted(dispatch.stream, dispatch.upstream.id, 50, 200))
        settle(completed.last<Settle>()) shouldContain ReleaseAnswer(dispatch.stream)
        confirmCancellations()
        isEmpty() shouldBe true
    }

    "a running answer outlasts a refusal of more tokens by a ledger that cannot reach the quorum" {
        val router = single()
        val dispatch = router.reserve(router.submit(1), RESERVED_TOKENS)
        router.refuse(router.extendRunning(dispatch), RefusalReason.SHARE_EXHAUSTED, Outcome.MAY_HAVE_RUN)
            .shouldEndNoAnswer()
        val resent = router.advance(1_000).shouldEndNoAnswer().last<Extend>()
        router.grant(resent, 100).shouldEndNoAnswer()
        router.shouldDeliver(dispatch)
    }

    "a complete answer outlasts a refusal of more tokens by a ledger that cannot reach the quorum" {
        val router = single()
        val dispatch = router.reserve(router.submit(1), RESERVED_TOKENS)
        val extend = router.send(AnswerCompleted(dispatch.stream, dispatch.upstream.id, 80, 200)).last<Extend>()
        router.refuse(extend, RefusalReason.SHARE_EXHAUSTED, Outcome.MAY_HAVE_RUN).shouldEndNoAnswer()
        val resent = router.advance(1_000).shouldEndNoAnswer().last<Extend>()
        val settle = router.grant(resent, 100).last<Settle>()
        router.settle(settle) shouldContain ReleaseAnswer(StreamId(1))
        router.isEmpty() shouldBe true
    }

    "an answer that can get no more tokens ends at its deadline" {
        // The charge would exceed what is reserved, so the answer may not be released without the extension.
        val router = single()
        val dispatch = router.reserve(router.submit(1), RESERVED_TOKENS)
        router.refuse(router.extendRunning(dispatch), RefusalReason.SHARE_EXHAUSTED, Outcome.MAY_HAVE_RUN)
        val authority = LedgerAuthority(norte1)
        while (router.now < 29_950) {
            val effects = router.advance(router.now + 50).shouldEndNoAnswer()
            effects.ledgerRequests().filter { it.request is Extend }
                .forEach { router.refuse(it, RefusalReason.SHARE_EXHAUSTED, Outcome.MAY_HAVE_RUN).shouldEndNoAnswer() }
            router.send(ControlContactReceived(authority))
        }
        router.advance(30_000).refusal().reason shouldBe RefusalReason.UPSTREAM_TIMEOUT
    }

    "an answer whose budget is spent ends when the ledger says so" {
        val router = single()
        val dispatch = router.reserve(router.submit(1), RESERVED_TOKENS)
        val extend = router.extendRunning(dispatch)
        val effects = router.refuse(extend, RefusalReason.BUDGET_EXHAUSTED, Outcome.MAY_HAVE_RUN)
        effects.refusal().reason shouldBe RefusalReason.BUDGET_EXHAUSTED
        effects shouldContain CancelAttempt(StreamId(1))
    }

    "a running answer outlasts the silence of its ledger when the others lack the tokens that are reserved there" {
        val router = RouterHarness()
        val dispatch = router.dispatch(1)
        // After 4 s without contact the reservation moves; its tokens are still set aside at the silent ledger.
        var moved = router.advance(4_000).shouldEndNoAnswer().last<Reserve>()
        moved.authority.domain shouldBe norte2
        moved = router.refuse(moved, RefusalReason.BUDGET_EXHAUSTED).shouldEndNoAnswer().ledgerRequests()
            .lastOrNull { it.request is Reserve } ?: router.advance(5_000).shouldEndNoAnswer().last<Reserve>()
        moved.authority.domain shouldNotBe norte2
        router.grant(moved, 100).shouldEndNoAnswer()
        router.shouldDeliver(dispatch)
    }

    "a complete answer waits for its charge until its deadline while no control process answers" {
        val router = single()
        val dispatch = router.dispatch(1)
        router.complete(dispatch)
        val settles = router.advance(20_000).shouldEndNoAnswer().ledgerRequests().map { it.request }
        // The session is over after 4 s, so the charge needs a new reservation.
        val reserve = settles.last { it is Reserve }
        val settle = router.send(LedgerAnswered(Reserved(reserve.attempt, 50))).last<Settle>()
        router.settle(settle) shouldContain ReleaseAnswer(StreamId(1))
        router.confirmCancellations()
        router.isEmpty() shouldBe true
    }

    "a complete answer without a charge ends at its deadline, and one that is complete late still has 10 s" {
        val early = single()
        early.complete(early.dispatch(1))
        early.advance(29_950).shouldEndNoAnswer()
        early.advance(30_000).refusal().reason shouldBe RefusalReason.LEDGER_UNAVAILABLE
        val late = single()
        val dispatch = late.dispatch(1)
        while (late.now < 29_000) {
            late.advance(late.now + 500).shouldEndNoAnswer()
            late.send(ControlContactReceived(LedgerAuthority(norte1)))
        }
        late.complete(dispatch)
        late.advance(38_950).shouldEndNoAnswer()
        late.advance(39_000).refusal().outcome shouldBe Outcome.RAN
    }

    "a complete answer is charged although a second attempt with its key has taken over the reservation" {
        // A caller that sends its request again at another router replaces the reservation of its key.
        val router = single()
        val dispatch = router.dispatch(1, request(key = "caller-key"))
        val settle = router.complete(dispatch)
        val effects = router.refuse(settle, RefusalReason.IN_PROGRESS, Outcome.MAY_HAVE_RUN).shouldEndNoAnswer()
        val reserve = effects.last<Reserve>()
        (effects.last<Cancel>().request as Cancel).attempt shouldBe settle.request.attempt
        val again = router.grant(reserve, 50).last<Settle>()
        router.settle(again) shouldContain ReleaseAnswer(StreamId(1))
        router.confirmCancellations()
        router.isEmpty() shouldBe true
    }

    "a charge that is refused again after a new reservation ends the answer" {
        val router = single()
        val settle = router.complete(router.dispatch(1))
        val reserve = router.refuse(settle, RefusalReason.SESSION_EXPIRED, Outcome.MAY_HAVE_RUN).last<Reserve>()
        val again = router.grant(reserve, 50).last<Settle>()
        val refused = router.refuse(again, RefusalReason.SESSION_EXPIRED, Outcome.MAY_HAVE_RUN)
        refused.refusal().reason shouldBe RefusalReason.SESSION_EXPIRED
    }

    "a claim whose charge is refused is not reserved again" {
        // A second reservation of work that is not idempotent would be a second claim.
        val router = single()
        val settle = router.complete(router.dispatch(1, request(booking)), 5)
        val refused = router.refuse(settle, RefusalReason.SESSION_EXPIRED, Outcome.MAY_HAVE_RUN)
        refused.refusal().reason shouldBe RefusalReason.SESSION_EXPIRED
        refused.ledgerRequests().filter { it.request is Reserve }.shouldBeEmpty()
    }
})
