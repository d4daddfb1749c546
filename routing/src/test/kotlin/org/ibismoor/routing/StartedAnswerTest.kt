package org.ibismoor.routing

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.routing.api.AnswerProgressed
import org.ibismoor.routing.api.AnswerStarted
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.ConfigurationChanged
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.ReportsReceived
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.StreamId

private fun List<RoutingEffect>.dispatches(): List<Dispatch> = filterIsInstance<Dispatch>()

private fun RouterHarness.startAnswer(): Dispatch =
    dispatch(1).also { send(AnswerStarted(it.stream, it.upstream.id)) }

/** Guards against a second run, at an upstream of another software version, of a stream whose first part is sent. */
class StartedAnswerTest : StringSpec({
    AttemptFailure.entries.filter { it.mayHaveRun }.forEach { failure ->
        "an answer that has started and fails by ${failure.code} ends and is not run again" {
            val router = RouterHarness()
            val dispatch = router.startAnswer()
            val effects = router.send(AttemptFailed(dispatch.stream, dispatch.upstream.id, failure))
            effects.refusal().outcome shouldBe Outcome.MAY_HAVE_RUN
            (effects + router.advance(31_000)).dispatches().shouldBeEmpty()
        }
    }

    "an attempt after one that failed before its first part has its own start" {
        // Guards against a retry whose answer counts as not started because the first attempt had none.
        val router = RouterHarness()
        val first = router.dispatch(1)
        router.send(AttemptFailed(first.stream, first.upstream.id, AttemptFailure.NO_ANSWER))
        val second = router.advance(200).dispatches().single()
        router.send(AnswerStarted(second.stream, second.upstream.id))
        val effects = router.send(AttemptFailed(second.stream, second.upstream.id, AttemptFailure.TIMEOUT))
        effects.refusal().reason shouldBe RefusalReason.UPSTREAM_TIMEOUT
        router.advance(31_000).dispatches().shouldBeEmpty()
    }

    "an upstream that leaves or is removed does not move a started answer" {
        val router = RouterHarness()
        val dispatch = router.startAnswer()
        val report = UpstreamReport(dispatch.upstream.id, 1, 0, true, "start", 0)
        val effects = router.send(ReportsReceived(listOf(report)))
        val without = configuration(number = 2).let { it.copy(upstreams = it.upstreams.remove(dispatch.upstream.id)) }
        (effects + router.send(ConfigurationChanged(without)) + router.advance(5_000)).dispatches().shouldBeEmpty()
        router.tables.streams.keys shouldBe setOf(StreamId(1))
    }

    "a reservation that moves to another ledger does not run a started answer again" {
        // Without contact the session at the ledger expires, and the router reserves at another one.
        val router = RouterHarness()
        router.startAnswer()
        val effects = router.advance(6_000)
        val reserve = effects.ledgerRequests().last { it.request is Reserve }.request
        val answered = router.send(LedgerAnswered(Reserved(reserve.attempt, 100)))
        (effects + answered + router.advance(8_000)).dispatches().shouldBeEmpty()
    }

    "a refused extension of the reservation does not run a started answer again" {
        val router = RouterHarness()
        val dispatch = router.reserve(router.submit(1), amount = 60)
        router.send(AnswerStarted(dispatch.stream, dispatch.upstream.id))
        val extend = router.send(AnswerProgressed(dispatch.stream, 50)).ledgerRequests().single().request as Extend
        val refused = Refused(extend.attempt, RefusalReason.BUDGET_EXHAUSTED, Outcome.NOT_RUN)
        val effects = router.send(LedgerAnswered(refused))
        (effects + router.advance(31_000)).dispatches().shouldBeEmpty()
    }
})
