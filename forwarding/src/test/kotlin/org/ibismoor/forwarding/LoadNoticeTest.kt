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

class LoadNoticeTest : StringSpec({
    "a prompt is not sent to an engine that has pending prompts of another router" {
        // Guards against routers that each send a long prompt to the same engine, where the later prompts are delayed.
        val preferred = preferredEngine()
        val router = RouterHarness().start()
        router.post(LoadNoticeReceived(PEER, persistentHashMapOf(preferred to 60_000)))
        val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
        (router.attemptsOf(number).single().upstream.id == preferred) shouldBe false
    }

    "a load notice expires once engines have had time to process its prompts" {
        val preferred = preferredEngine()
        val router = RouterHarness().start()
        router.post(LoadNoticeReceived(PEER, persistentHashMapOf(preferred to 60_000)))
        router.advance(400)
        val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
        router.attemptsOf(number).single().upstream.id shouldBe preferred
    }

    "a later load notice of a router replaces its earlier one" {
        val preferred = preferredEngine()
        val router = RouterHarness().start()
        router.post(LoadNoticeReceived(PEER, persistentHashMapOf(preferred to 60_000)))
        router.post(LoadNoticeReceived(PEER, persistentHashMapOf()))
        val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
        router.attemptsOf(number).single().upstream.id shouldBe preferred
    }

    "the load of several prompts is sent to the other routers in one notice" {
        val router = RouterHarness().start()
        val numbers = List(2) { router.sendRequest("/chat/1", prompt = promptOf(9_000, 10)) }
        val engines = numbers.map { router.attemptsOf(it).single().upstream.id }
        router.advance(20)
        val notices = router.effects.filterIsInstance<SendLoadNotice>()
        notices shouldHaveSize 1
        notices.single().addresses shouldHaveSize 3
        notices.single().pendingPromptTokens shouldBe
            engines.associateWith { router.pendingTokensAt(it) }.toPersistentHashMap()
    }

    "requests without a prompt trigger no load notice" {
        val router = RouterHarness().start()
        router.sendRequest("/status/1")
        router.advance(20)
        router.effects.filterIsInstance<SendLoadNotice>().shouldBeEmpty()
    }
})

/** The engine to which a router without load notices sends the prompt of these tests. */
private fun preferredEngine(): UpstreamId {
    val router = RouterHarness().start()
    val number = router.sendRequest("/chat/1", prompt = promptOf(9_000, 10))
    return router.attemptsOf(number).single().upstream.id
}

private fun RouterHarness.pendingTokensAt(upstream: UpstreamId): Long =
    tables.upstreams.getValue(upstream).pendingPromptTokens
