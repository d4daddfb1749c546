/**
 * Guards against a publisher that stops after a lost answer, keeps sending to a follower that names the leader, retries
 * a conflict or reports it as success, or never stops when no process leads.
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
import org.ibismoor.operator.api.DecidedPublication
import org.ibismoor.operator.api.PublishOutcome
import org.ibismoor.operator.api.Publisher
import org.ibismoor.operator.api.UndecidedPublication
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.LedgerView

private val FOLLOWERS = listOf("http://127.0.0.1:1", "http://127.0.0.1:2")
private const val LEADER = "http://127.0.0.1:3"
private val PUBLICATION = Publication(7, emptyList())
private val ACCEPTED = PublicationAccepted(7, "d")

private class FakePort(private val answers: (String, Int) -> PublicationAnswer?) : ControlPort {
    val requestedUrls = mutableListOf<String>()

    override fun publish(url: String, publication: Publication): PublicationAnswer? {
        requestedUrls += url
        return answers(url, requestedUrls.size)
    }

    override fun status(url: String): ControlStatus? = null

    override fun ledger(url: String, organisation: String?): LedgerView? = null
}

private fun publish(port: ControlPort): PublishOutcome = Publisher(port) { }.publish(FOLLOWERS, PUBLICATION)

class PublisherTest : StringSpec({
    "a publication is sent to the leader that a follower names" {
        val port = FakePort { url, _ -> if (url == LEADER) ACCEPTED else PublicationMisdirected(LEADER) }
        publish(port) shouldBe DecidedPublication(ACCEPTED)
        port.requestedUrls shouldBe listOf(FOLLOWERS.first(), LEADER)
    }

    "after a lost answer the same set is sent to the next process" {
        val port = FakePort { _, attempt -> ACCEPTED.takeIf { attempt == 3 } }
        publish(port) shouldBe DecidedPublication(ACCEPTED)
        port.requestedUrls shouldBe listOf(FOLLOWERS[0], FOLLOWERS[1], FOLLOWERS[0])
    }

    "a publication with an unknown outcome is sent again" {
        val port = FakePort { _, attempt -> if (attempt == 1) PublicationOpen else ACCEPTED }
        publish(port) shouldBe DecidedPublication(ACCEPTED)
    }

    "a conflict is final and is not retried" {
        val conflict = PublicationConflicting(7, "other", "taken")
        val port = FakePort { _, _ -> conflict }
        publish(port) shouldBe DecidedPublication(conflict)
        port.requestedUrls.size shouldBe 1
    }

    "publishing stops without a decision when no process names a leader" {
        publish(FakePort { _, _ -> PublicationMisdirected() }).shouldBeInstanceOf<UndecidedPublication>()
    }
})
