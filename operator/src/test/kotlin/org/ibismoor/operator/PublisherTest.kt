/**
 * Guards against a publishing step that gives up after a lost answer, asks a follower for ever, or takes a conflict
 * for a success.
 */
package org.ibismoor.operator

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAccepted
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.declarations.api.PublicationConflicting
import org.ibismoor.declarations.api.PublicationMisdirected
import org.ibismoor.declarations.api.PublicationOpen
import org.ibismoor.operator.api.ControlPort
import org.ibismoor.operator.api.Decided
import org.ibismoor.operator.api.PublishOutcome
import org.ibismoor.operator.api.Publisher
import org.ibismoor.operator.api.Undecided
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.LedgerView

private val FOLLOWERS = listOf("http://127.0.0.1:1", "http://127.0.0.1:2")
private const val LEADER = "http://127.0.0.1:3"
private val PUBLICATION = Publication(7, emptyList())
private val ACCEPTED = PublicationAccepted(7, "d")

private class FakePort(private val answers: (String, Int) -> PublicationAnswer?) : ControlPort {
    val asked = mutableListOf<String>()

    override fun publish(url: String, publication: Publication): PublicationAnswer? {
        asked += url
        return answers(url, asked.size)
    }

    override fun status(url: String): ControlStatus? = null

    override fun ledger(url: String, organisation: String?): LedgerView? = null
}

private fun publish(port: ControlPort): PublishOutcome = Publisher(port) { }.publish(FOLLOWERS, PUBLICATION)

class PublisherTest : StringSpec({
    "a follower's word about the leader is followed" {
        val port = FakePort { url, _ -> if (url == LEADER) ACCEPTED else PublicationMisdirected(LEADER) }
        publish(port) shouldBe Decided(ACCEPTED)
        port.asked shouldBe listOf(FOLLOWERS.first(), LEADER)
    }

    "a lost answer is followed by the same set at another process" {
        val port = FakePort { _, attempt -> ACCEPTED.takeIf { attempt == 3 } }
        publish(port) shouldBe Decided(ACCEPTED)
        port.asked shouldBe listOf(FOLLOWERS[0], FOLLOWERS[1], FOLLOWERS[0])
    }

    "an open decision is asked for again" {
        val port = FakePort { _, attempt -> if (attempt == 1) PublicationOpen else ACCEPTED }
        publish(port) shouldBe Decided(ACCEPTED)
    }

    "a conflict is final" {
        val conflict = PublicationConflicting(7, "other", "taken")
        val port = FakePort { _, _ -> conflict }
        publish(port) shouldBe Decided(conflict)
        port.asked.size shouldBe 1
    }

    "a fleet without a leader ends the publishing step" {
        publish(FakePort { _, _ -> PublicationMisdirected() }).shouldBeInstanceOf<Undecided>()
    }
})
