/**
 * A network partition separates most routers, and one of the three that callers are sent to, from the leader. Callers
 * still reach all routers and look up addresses at the separated ones, whose list is the leader's last.
 */
package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldNotContain
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.forwarding.api.AskContact
import org.ibismoor.forwarding.api.ContactAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.callerAddresses

private const val REPORT_LOSS_MILLIS = 1_000L
private const val SEPARATED = "10.0.1.0:80"
private val CONNECTED = listOf("10.0.1.1:80", "10.0.1.2:80")

class SeparatedRouterTest : StringSpec({
    "callers are not sent to a router that is separated from the leader as well" {
        // Guards against a third of the callers that are refused for as long as the partition lasts.
        val router = separatedRouter()
        router.answerContact(SEPARATED, hasLeader = false)
        router.addresses() shouldContainExactlyInAnyOrder CONNECTED
    }

    "a router that does not answer stays in the list" {
        // Guards against a separated router that takes the routers beyond the partition for lost.
        separatedRouter().addresses() shouldContainExactlyInAnyOrder CONNECTED + SEPARATED
    }

    "callers are sent to all routers if each of them is separated" {
        // Guards against an empty list, and against all callers at one router, while no leader is elected.
        val router = separatedRouter()
        (CONNECTED + SEPARATED).forEach { router.answerContact(it, hasLeader = false) }
        router.addresses() shouldContainExactlyInAnyOrder CONNECTED + SEPARATED
    }

    "a router that has contact again is offered again" {
        val router = separatedRouter()
        router.answerContact(SEPARATED, hasLeader = false)
        router.answerContact(SEPARATED, hasLeader = true)
        router.addresses() shouldContainExactlyInAnyOrder CONNECTED + SEPARATED
    }

    "the leader's list holds again once the router has contact" {
        // Guards against a router that is left out after the partition has ended.
        val router = separatedRouter()
        router.answerContact(SEPARATED, hasLeader = false)
        router.isControlUnreachable = false
        router.post(ReportLost("timeout"))
        router.advance(1_000)
        router.addresses() shouldContainExactlyInAnyOrder CONNECTED + SEPARATED + OWN_ENTRY.address
    }

    "a router with contact asks no others" {
        // Guards against queries that grow with the number of routers in calm.
        val router = RouterHarness().start()
        router.post(ReportLost("timeout"))
        router.effects.filterIsInstance<AskContact>().shouldBeEmpty()
    }

    "a separated router asks the others and not itself" {
        val router = separatedRouter()
        val asked = router.effects.filterIsInstance<AskContact>().last().addresses
        asked shouldContainExactlyInAnyOrder CONNECTED + SEPARATED
        asked shouldNotContain OWN_ENTRY.address
    }
})

/** A router whose reports have been lost for long enough that it counts as separated. */
private fun separatedRouter(): RouterHarness {
    val router = RouterHarness().start()
    router.isControlUnreachable = true
    repeat(2) {
        router.advance(REPORT_LOSS_MILLIS)
        router.post(ReportLost("timeout"))
    }
    return router
}

private fun RouterHarness.answerContact(from: String, hasLeader: Boolean) = post(ContactAnswered(from, hasLeader))

private fun RouterHarness.addresses(): List<String> =
    tables.callerAddresses(FailureDomainId("south"), OWN_ENTRY, now).map { it.address }
