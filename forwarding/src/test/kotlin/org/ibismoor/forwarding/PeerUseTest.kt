package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.LoadNoticeReceived
import org.ibismoor.forwarding.api.SendLoadNotice

private const val PEER = "10.0.1.0:80"

class PeerUseTest : StringSpec({
    "a prompt is not sent to an engine that has to read another router's prompts first" {
        // Guards against routers that each send a long prompt to the same engine, where the later ones wait.
        val home = homeOfNext()
        val router = RouterDouble().started()
        router.post(LoadNoticeReceived(PEER, persistentHashMapOf(home to 60_000)))
        val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
        (router.sendsOf(number).single().upstream.id == home) shouldBe false
    }

    "what another router told is forgotten after engines have had time to read it" {
        val home = homeOfNext()
        val router = RouterDouble().started()
        router.post(LoadNoticeReceived(PEER, persistentHashMapOf(home to 60_000)))
        router.run(400)
        val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
        router.sendsOf(number).single().upstream.id shouldBe home
    }

    "a later message of a router replaces its earlier one" {
        val home = homeOfNext()
        val router = RouterDouble().started()
        router.post(LoadNoticeReceived(PEER, persistentHashMapOf(home to 60_000)))
        router.post(LoadNoticeReceived(PEER, persistentHashMapOf()))
        val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
        router.sendsOf(number).single().upstream.id shouldBe home
    }

    "prompts that were sent are told to the other routers for callers in one message" {
        val router = RouterDouble().started()
        val numbers = List(2) { router.arrive("/chat/1", prompt = promptOf(9_000, 10)) }
        val engines = numbers.map { router.sendsOf(it).single().upstream.id }
        router.run(20)
        val told = router.effects.filterIsInstance<SendLoadNotice>()
        told shouldHaveSize 1
        told.single().addresses shouldHaveSize 3
        told.single().pendingPromptTokens shouldBe
            engines.associateWith { router.unreadAt(it) }.toPersistentHashMap()
    }

    "requests without a prompt are not told" {
        val router = RouterDouble().started()
        router.arrive("/status/1")
        router.run(20)
        router.effects.filterIsInstance<SendLoadNotice>().shouldBeEmpty()
    }
})

/** The engine to which a router that knows of no load sends the prompt of these tests. */
private fun homeOfNext(): UpstreamId {
    val router = RouterDouble().started()
    val number = router.arrive("/chat/1", prompt = promptOf(9_000, 10))
    return router.sendsOf(number).single().upstream.id
}

private fun RouterDouble.unreadAt(upstream: UpstreamId): Long = tables.upstreams.getValue(upstream).pendingPromptTokens
