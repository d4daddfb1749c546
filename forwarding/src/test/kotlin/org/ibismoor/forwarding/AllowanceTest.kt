package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.AnswerLoan
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.CallerDisconnected
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.DrainStarted
import org.ibismoor.forwarding.api.LoanReceived
import org.ibismoor.forwarding.api.LoanRequested
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestLoan
import org.ibismoor.forwarding.api.SendReport
import kotlin.random.Random

class AllowanceTest : StringSpec({
    "requests are decided while no control process can be reached" {
        val router = RouterHarness(budget = 1_000_000).start()
        router.isControlUnreachable = true
        repeat(10) {
            val number = router.sendRequest("/chat/1", prompt = promptOf(100, 10))
            router.endAttempt(number, Delivered(2, load = null))
            router.advance(500)
        }
        router.sentAttempts shouldHaveSize 10
    }

    "a request that exceeds the unspent budget is refused because of the budget" {
        val router = RouterHarness(budget = 1_000).start()
        val number = router.sendRequest("/chat/1", prompt = promptOf(2_000, 10))
        router.advance(400)
        router.refusalOf(number)?.reason shouldBe RefusalReason.BUDGET_EXHAUSTED
        // Guards against a caller that comes back for tokens that are spent for good.
        router.refusalOf(number)?.retryAfterMillis shouldBe null
    }

    "a request that exceeds only the tokens of this router is not refused because of the budget" {
        // Guards against a permanent refusal while other routers hold unspent tokens.
        val router = RouterHarness(budget = 1_000_000)
        router.issueLimit = 0
        router.start()
        val number = router.sendRequest("/chat/1", prompt = promptOf(2_000, 10))
        router.advance(400)
        router.refusalOf(number)?.reason shouldBe RefusalReason.SHARE_EXHAUSTED
        (router.refusalOf(number)?.retryAfterMillis != null).shouldBeTrue()
    }

    "a refusal for want of tokens names the amounts that decided" {
        // Guards against a log that cannot tell a spent budget from one whose tokens other routers hold.
        val router = RouterHarness(budget = 1_000_000)
        router.issueLimit = 0
        router.start()
        val prompt = promptOf(2_000, 10)
        router.sendRequest("/chat/1", prompt = prompt)
        router.advance(400)
        val decision = router.effects.filterIsInstance<LogDecision>().map { it.decision }
            .single { it.kind == DecisionKind.REQUEST_REFUSED }
        val amounts = mapOf(
            "cost" to prompt.maximumCost,
            "held" to 0L,
            "reserved" to 0L,
            "unissued" to 0L,
            "unspent" to 1_000_000L,
        )
        decision.facts.filter { it.name in amounts }.associate { it.name to it.value } shouldBe amounts
    }

    "a router without contact with control processes requests loans from other routers" {
        val router = RouterHarness(budget = 1_000_000).start()
        router.isControlUnreachable = true
        router.advance(2_000)
        val number = router.sendRequest("/chat/1", prompt = promptOf(50_000, 10))
        router.effects.filterIsInstance<RequestLoan>().map { it.address }.distinct() shouldHaveSize 3
        router.post(LoanReceived(COUNCIL, 60_000))
        router.attemptsOf(number) shouldHaveSize 1
    }

    "a lender deducts what it lends" {
        // Guards against tokens that are spent both by the lender and by the borrower.
        val router = RouterHarness(budget = 1_000_000).start()
        val before = router.tables.allowances.getValue(COUNCIL).available
        router.post(LoanRequested(1, COUNCIL, before * 10))
        val given = router.effects.filterIsInstance<AnswerLoan>().single().tokens
        given shouldBeLessThanOrEqual before
        router.tables.allowances.getValue(COUNCIL).available shouldBe before - given
    }

    "a lender lends all that no request has reserved" {
        // Guards against a request that is refused in a network partition while each lender keeps half of a small
        // amount: in a large fleet a router holds little more than one request of an organisation.
        val router = RouterHarness(budget = 1_000_000).start()
        val before = router.tables.allowances.getValue(COUNCIL).available
        router.post(LoanRequested(1, COUNCIL, before))
        router.effects.filterIsInstance<AnswerLoan>().single().tokens shouldBe before
    }

    "a router without contact with control processes requests only what it lacks, from four routers" {
        // Guards against borrowing from too few routers for a request, and against borrowing more than it needs.
        val router = RouterHarness(budget = 1_000_000).start()
        router.listRouters(count = 9)
        router.isControlUnreachable = true
        router.advance(2_000)
        val available = router.tables.allowances.getValue(COUNCIL).available
        val prompt = promptOf(50_000, 10)
        router.sendRequest("/chat/1", prompt = prompt)
        val loans = router.effects.filterIsInstance<RequestLoan>()
        loans.map { it.address }.distinct() shouldHaveSize 4
        loans.map { it.tokens }.distinct() shouldBe listOf(prompt.maximumCost - available)
    }

    "tokens for a request that arrives while a report is in flight are requested in the next one without delay" {
        // Guards against SHARE_EXHAUSTED refusals while the budget has unissued tokens: the answer to the report in
        // flight scheduled the next report later than the time for which a request waits.
        val router = routerWithoutTokens()
        val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
        router.restoreLeader()
        router.post(ReportAnswered(ReportAnswer(true, null, emptyList()), null))
        router.advance(20)
        router.attemptsOf(number) shouldHaveSize 1
    }

    "a request that exceeds the unissued tokens is refused at once" {
        // Guards against refusals that are delayed although the leader has reported that other routers hold the tokens.
        val router = RouterHarness(budget = 1_000_000)
        router.issueLimit = 0
        router.start()
        val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
        router.advance(20)
        router.refusalOf(number)?.reason shouldBe RefusalReason.SHARE_EXHAUSTED
    }

    "a router with much of an organisation's demand holds tokens for a network partition of several seconds" {
        // Guards against a limit of the tokens at one router that persistent callers spend within one second of a
        // network partition.
        val router = RouterHarness(budget = 1_000_000).start()
        repeat(20) {
            val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
            router.endAttempt(number, Delivered(2, load = null))
            router.advance(500)
        }
        router.isControlUnreachable = true
        val sentBefore = router.sentAttempts.size
        repeat(10) {
            val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
            if (router.attemptsOf(number).isNotEmpty()) router.endAttempt(number, Delivered(2, load = null))
            router.advance(500)
        }
        router.sentAttempts.size shouldBe sentBefore + 10
    }

    "a request at a router without contact with control processes is refused quickly and may be retried at once" {
        // Guards against waiting for an election on the VM of a control process when that VM itself is partitioned.
        val router = RouterHarness(budget = 1_000_000).start()
        router.isControlUnreachable = true
        router.advance(3_000)
        val number = router.sendRequest("/chat/1", prompt = promptOf(500_000, 10))
        router.advance(60)
        router.refusalOf(number)?.retryAfterMillis shouldBe 40
    }

    "a request at a router on the VM of a control process waits for the next leader" {
        // Guards against refusals during the second that an election takes, when retries of the callers fail too.
        val router = routerWithoutTokens()
        val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
        router.advance(600)
        router.refusalOf(number).shouldBeNull()
        router.restoreLeader()
        router.post(ReportLost("timeout"))
        router.advance(250)
        router.attemptsOf(number) shouldHaveSize 1
    }

    "a draining router returns the tokens that it does not need" {
        val router = RouterHarness(budget = 1_000_000).start()
        router.post(DrainStarted)
        router.advance(1_000)
        router.tables.allowances.getValue(COUNCIL).held shouldBe 0
    }

    "settled, reserved and lent tokens never exceed the issued ones in random sequences of events" {
        repeat(50) { seed -> checkRandomRequests(Random(seed)) }
    }
})

/** A router that holds no tokens and has a report in flight when contact with the control processes is lost. */
private fun routerWithoutTokens(): RouterHarness {
    val router = RouterHarness(budget = 1_000_000)
    router.issueLimit = 0
    router.start()
    router.isControlUnreachable = true
    router.advance(400)
    return router
}

private fun RouterHarness.restoreLeader() {
    isControlUnreachable = false
    issueLimit = Long.MAX_VALUE
}

private fun lostAnswerAfter(events: Int) = AnswerLost("reset", events, isAnswerStarted = true, isResumable = true)

private fun checkRandomRequests(random: Random) {
    val router = RouterHarness(budget = 40_000).start()
    repeat(120) {
        if (random.nextInt(10) == 0) router.isControlUnreachable = !router.isControlUnreachable
        val input = random.nextLong(50, 900)
        val number = router.sendRequest("/chat/1", prompt = promptOf(input, random.nextLong(1, 300)))
        val isSent = router.attemptsOf(number).isNotEmpty()
        when (random.nextInt(5)) {
            0 -> if (isSent) router.endAttempt(number, Delivered(random.nextInt(200), load = null))
            1 -> if (isSent) router.endAttempt(number, lostAnswerAfter(random.nextInt(40)))
            2 -> router.post(CallerDisconnected(number, random.nextInt(20)))
            3 -> router.post(LoanRequested(0, COUNCIL, random.nextLong(2_000)))
            else -> Unit
        }
        router.advance(random.nextLong(200))
        val row = router.tables.allowances.getValue(COUNCIL)
        row.settled + row.reserved + row.lent shouldBeLessThanOrEqual row.issued + row.borrowed - row.returned
        row.issued shouldBeLessThanOrEqual 40_000 + row.returned
    }
    router.effects.filterIsInstance<SendReport>().flatMap { it.report.usage }
        .zipWithNext().all { (before, after) -> after.returned >= before.returned }.shouldBeTrue()
}
