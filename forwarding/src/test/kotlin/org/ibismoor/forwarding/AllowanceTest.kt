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
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.DrainStarted
import org.ibismoor.forwarding.api.LoanReceived
import org.ibismoor.forwarding.api.LoanRequested
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestLoan
import org.ibismoor.forwarding.api.SendReport
import kotlin.random.Random

class AllowanceTest : StringSpec({
    "requests are decided without a control process while it is cut off" {
        val router = RouterDouble(budget = 1_000_000).started()
        router.isCutOff = true
        repeat(10) {
            val number = router.arrive("/chat/1", prompt = promptOf(100, 10))
            router.end(number, Delivered(2, load = null))
            router.run(500)
        }
        router.sends shouldHaveSize 10
    }

    "a request that does not fit into what is left of the budget is refused for its budget" {
        val router = RouterDouble(budget = 1_000).started()
        val number = router.arrive("/chat/1", prompt = promptOf(2_000, 10))
        router.run(400)
        router.refusalOf(number)?.reason shouldBe RefusalReason.BUDGET_EXHAUSTED
    }

    "a request that only lacks tokens of this router is not told that its budget is spent" {
        // Guards against a final refusal while other routers hold unspent tokens.
        val router = RouterDouble(budget = 1_000_000)
        router.generosity = 0
        router.started()
        val number = router.arrive("/chat/1", prompt = promptOf(2_000, 10))
        router.run(400)
        router.refusalOf(number)?.reason shouldBe RefusalReason.SHARE_EXHAUSTED
        (router.refusalOf(number)?.retryAfterMillis != null).shouldBeTrue()
    }

    "a router that is cut off from control borrows what it lacks from other routers" {
        val router = RouterDouble(budget = 1_000_000).started()
        router.isCutOff = true
        router.run(2_000)
        val number = router.arrive("/chat/1", prompt = promptOf(50_000, 10))
        router.effects.filterIsInstance<RequestLoan>().map { it.address }.distinct() shouldHaveSize 2
        router.post(LoanReceived(COUNCIL, 60_000))
        router.sendsOf(number) shouldHaveSize 1
    }

    "a lender counts what it lends as gone" {
        // Guards against tokens that are spent at the lender and at the borrower.
        val router = RouterDouble(budget = 1_000_000).started()
        val before = router.tables.allowances.getValue(COUNCIL).available
        router.post(LoanRequested(1, COUNCIL, before * 10))
        val given = router.effects.filterIsInstance<AnswerLoan>().single().tokens
        given shouldBeLessThanOrEqual before
        router.tables.allowances.getValue(COUNCIL).available shouldBe before - given
    }

    "a request that comes while a report is under way is asked for in the next one, which follows soon" {
        // Guards against requests that are refused for their share while the budget has tokens: the answer to the
        // report under way moved the next report beyond the time for which a request waits.
        val router = routerWithoutTokens()
        val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
        router.reachGenerousLeader()
        router.post(ReportAnswered(ReportAnswer(true, null, emptyList()), null))
        router.run(20)
        router.sendsOf(number) shouldHaveSize 1
    }

    "a request that no unissued token can serve is refused without a wait" {
        // Guards against refusals that are held back although the leader has said that others hold the tokens.
        val router = RouterDouble(budget = 1_000_000)
        router.generosity = 0
        router.started()
        val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
        router.run(20)
        router.refusalOf(number)?.reason shouldBe RefusalReason.SHARE_EXHAUSTED
    }

    "a router that has much of an organisation's demand holds tokens for a cut of seconds" {
        // Guards against a bound on what one router holds that is spent within a second of a cut from control, where
        // callers stay at one router.
        val router = RouterDouble(budget = 1_000_000).started()
        repeat(20) {
            val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
            router.end(number, Delivered(2, load = null))
            router.run(500)
        }
        router.isCutOff = true
        val sentBefore = router.sends.size
        repeat(10) {
            val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
            if (router.sendsOf(number).isNotEmpty()) router.end(number, Delivered(2, load = null))
            router.run(500)
        }
        router.sends.size shouldBe sentBefore + 10
    }

    "a request at a router that is cut off is refused soon and told to come back at once" {
        // Guards against requests that are held for an election at a router beside control that is itself cut off.
        val router = RouterDouble(budget = 1_000_000).started()
        router.isCutOff = true
        router.run(3_000)
        val number = router.arrive("/chat/1", prompt = promptOf(500_000, 10))
        router.run(60)
        router.refusalOf(number)?.retryAfterMillis shouldBe 40
    }

    "a request at a router on the VM of a replica waits for the next leader" {
        // Guards against refusals in the second that an election takes, after which callers come back in vain.
        val router = routerWithoutTokens()
        val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
        router.run(600)
        router.refusalOf(number).shouldBeNull()
        router.reachGenerousLeader()
        router.post(ReportLost)
        router.run(250)
        router.sendsOf(number) shouldHaveSize 1
    }

    "a drained router gives back what it does not need" {
        val router = RouterDouble(budget = 1_000_000).started()
        router.post(DrainStarted)
        router.run(1_000)
        router.tables.allowances.getValue(COUNCIL).held shouldBe 0
    }

    "spent and reserved tokens never exceed what was issued, whatever happens to requests" {
        repeat(50) { seed -> playRequests(Random(seed)) }
    }
})

/** A router that holds no tokens and whose report is under way when control processes are cut off. */
private fun routerWithoutTokens(): RouterDouble {
    val router = RouterDouble(budget = 1_000_000)
    router.generosity = 0
    router.started()
    router.isCutOff = true
    router.run(400)
    return router
}

private fun RouterDouble.reachGenerousLeader() {
    isCutOff = false
    generosity = Long.MAX_VALUE
}

private fun playRequests(random: Random) {
    val router = RouterDouble(budget = 40_000).started()
    repeat(120) {
        if (random.nextInt(10) == 0) router.isCutOff = !router.isCutOff
        val input = random.nextLong(50, 900)
        val number = router.arrive("/chat/1", prompt = promptOf(input, random.nextLong(1, 300)))
        val isSent = router.sendsOf(number).isNotEmpty()
        when (random.nextInt(5)) {
            0 -> if (isSent) router.end(number, Delivered(random.nextInt(200), load = null))
            1 -> if (isSent) router.end(number, AnswerLost("reset", random.nextInt(40), true, isResumable = true))
            2 -> router.post(CallerDisconnected(number, random.nextInt(20)))
            3 -> router.post(LoanRequested(0, COUNCIL, random.nextLong(2_000)))
            else -> Unit
        }
        router.run(random.nextLong(200))
        val row = router.tables.allowances.getValue(COUNCIL)
        row.settled + row.reserved + row.lent shouldBeLessThanOrEqual row.issued + row.borrowed - row.returned
        row.issued shouldBeLessThanOrEqual 40_000 + row.returned
    }
    router.effects.filterIsInstance<SendReport>().flatMap { it.report.usage }
        .zipWithNext().all { (before, after) -> after.returned >= before.returned }.shouldBeTrue()
}
