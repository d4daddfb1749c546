package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldNotBeNull
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.forwarding.api.RequestNumber

private val SERVING = engines("old", FIRST_VERSION, count = 2)
private val REPLACEMENTS = engines("new", SECOND_VERSION, count = 4)
private val RELEASED = SERVING.map { it.copy(isLeaving = true) } + REPLACEMENTS

class LeavingVersionTest : StringSpec({
    "a stream goes on at an upstream of its version that has just begun to leave" {
        // Guards against streams that are lost in a release although upstreams of their version still serve.
        val router = RouterHarness().start(entries = SERVING)
        val number = router.loseStreamAfterRelease(millis = 900)
        router.versionsOf(number) shouldContainExactly listOf(FIRST_VERSION, FIRST_VERSION)
    }

    "a stream does not go on at an upstream that has been leaving for long" {
        // Guards against a request that reaches an upstream after the end of its drain.
        val router = RouterHarness().start(entries = SERVING)
        val number = router.loseStreamAfterRelease(millis = 1_010)
        router.versionsOf(number) shouldContainExactly listOf(FIRST_VERSION)
        router.refusalOf(number).shouldNotBeNull()
    }

    "a router that has only seen the upstream leaving does not use it" {
        // Guards against a restarted router that takes the first list it gets for the start of a drain.
        val router = RouterHarness().start(entries = SERVING.take(1) + leaving(SERVING[1]))
        val number = router.beginStream()
        router.endAttempt(number, STARTED_LOSS)
        router.versionsOf(number) shouldContainExactly listOf(FIRST_VERSION)
    }

    "a new stream does not begin at an upstream that is leaving" {
        // Guards against the exception for streams that have begun being applied to others.
        val router = RouterHarness().start(entries = SERVING)
        router.listUpstreams(SERVING.map(::leaving))
        router.refusalOf(router.sendStream()).shouldNotBeNull()
    }
})

private fun leaving(entry: UpstreamEntry): UpstreamEntry = entry.copy(isLeaving = true)

/** A stream of the old version breaks off [millis] after the list has shown that its upstreams are leaving. */
private fun RouterHarness.loseStreamAfterRelease(millis: Long): RequestNumber {
    val number = beginStream()
    listUpstreams(RELEASED)
    advance(millis)
    endAttempt(number, STARTED_LOSS)
    return number
}
