package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.RequestNumber

class StreamStartVersionTest : StringSpec({
    "a stream without an event may go on at any version" {
        // Guards against streams that end since no other upstream of the first one's version is left, although their
        // callers have received nothing of it.
        checkOtherVersion { router, number -> router.endAttempt(number, UNSTARTED_LOSS) }
        checkOtherVersion { router, number ->
            router.post(AttemptSilent(number, 1, silence = 1, isResumable = true))
        }
    }
})

private fun checkOtherVersion(interrupt: (RouterHarness, RequestNumber) -> Unit) {
    val entries = engines("old", FIRST_VERSION, count = 1) + engines("new", SECOND_VERSION, count = 1)
    val router = RouterHarness().start(entries = entries)
    val number = router.sendStream()
    interrupt(router, number)
    val versions = router.attemptsOf(number).map { it.upstream.version }
    versions shouldContainExactlyInAnyOrder listOf(FIRST_VERSION, SECOND_VERSION)
}
