package org.ibismoor.control

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.declarations.api.PublicationAccepted
import org.ibismoor.declarations.api.PublicationConflicting
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.RouterRow
import org.ibismoor.membership.api.RouterState
import java.util.concurrent.CompletableFuture

private const val PUBLICATIONS = 25
private const val CHARGES = 25

private fun killAndRestart(group: ControlGroup, node: Int) {
    group.child(node).kill()
    group.leader(without = node)
    group.start(node)
    awaitTrue("the restarted process") { group.status(node)?.hasQuorum == true }
}

private fun heartbeat(number: Long) =
    Heartbeat(
        RouterRow(
            RouterId("router-1"),
            SessionId("session-router"),
            FailureDomainId("norte-1"),
            "http://127.0.0.1:1",
            RouterState.SERVING,
            0,
        ),
        ConfigurationNumber(number),
        0,
        0,
    )

/**
 * Guards against the loss of publications and charges that were acknowledged, against a second charge for a repeated
 * request, and against a paused former leader that accepts or serves outdated state.
 */
class CrashTest : StringSpec({
    "killing a follower and leaders loses no accepted publication or charge and charges no request twice" {
        withGroup(tempdir().toPath()) { group ->
            group.publishAnywhere(1, declared(1)).shouldBeInstanceOf<PublicationAccepted>()
            val operator = CompletableFuture.runAsync {
                (2..PUBLICATIONS).forEach {
                    group.publishAnywhere(it.toLong(), declared(it)).shouldBeInstanceOf<PublicationAccepted>()
                }
            }
            val routers = group.members.indices.map { node ->
                CompletableFuture.runAsync {
                    val charging = Charging(group, node)
                    repeat(CHARGES) { charging.charge("request-$node-$it") }
                }
            }
            killAndRestart(group, (group.members.indices - group.leader()).first())
            repeat(2) { killAndRestart(group, group.leader()) }
            (routers + operator).forEach { it.join() }
            val charged = CHARGES * group.members.size
            group.members.indices.forEach { node ->
                val view = await("all charges at $node") {
                    group.ledger(node)?.takeIf { view -> view.charges.count { it.isMerged } == charged }
                }
                view.charges.map { it.charge.key }.distinct().size shouldBe charged
                view.budgets.single().let { it.spent - it.voided } shouldBe charged * PRICE
                view.budgets.single().granted shouldBe FIRST_GRANT + PUBLICATIONS - 1
                group.status(node)?.configuration shouldBe PUBLICATIONS.toLong()
            }
        }
    }

    "a paused leader is replaced, and when resumed it neither accepts nor serves outdated state" {
        withGroup(tempdir().toPath()) { group ->
            group.publishAnywhere(1, declared(1))
            val paused = group.leader()
            group.child(paused).signal("STOP")
            val next = group.leader(without = paused)
            group.publishAnywhere(2, declared(2), listOf(next)).shouldBeInstanceOf<PublicationAccepted>()
            group.child(paused).signal("CONT")
            (group.publish(paused, 2, declared(3)) is PublicationAccepted) shouldBe false
            val served = group.sendHeartbeat(paused, heartbeat(2))?.configuration?.number
            (served == null || served >= ConfigurationNumber(2)) shouldBe true
            awaitTrue("the resumed process") {
                group.status(paused)?.let { it.configuration == 2L && it.leader != null } == true
            }
            group.status(paused)?.leader shouldNotBe group.members[paused]
        }
    }

    "a repeated publication gets the same answer, and of two publications with one number one wins" {
        withGroup(tempdir().toPath()) { group ->
            val first = group.publishAnywhere(1, declared(1))
            group.publishAnywhere(1, declared(1)) shouldBe first
            group.publishAnywhere(1, declared(2)).shouldBeInstanceOf<PublicationConflicting>().winner shouldBe 1
            val answers = listOf(2, 3)
                .map { CompletableFuture.supplyAsync { group.publishAnywhere(2, declared(it)) } }
                .map { it.join() }
            val winner = answers.filterIsInstance<PublicationAccepted>().single()
            val loser = answers.filterIsInstance<PublicationConflicting>().single()
            loser.winnerDigest shouldBe winner.digest
        }
    }
})
