package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ReportAnswered

private const val STREAMS = 200

class UnreportedStreamsTest : StringSpec({
    "a router without contact with control does not keep streams for its report that it has forgotten" {
        // Guards against a table that grows as long as the contact is lost.
        val router = RouterHarness().start(entries = OLD_ENGINES + NEW_ENGINES)
        val list = UpstreamList(2, OLD_ENGINES + NEW_ENGINES, listOf(OLD_ENGINES[0].group))
        router.post(ReportAnswered(ReportAnswer(true, null, emptyList(), upstreams = list), null))
        router.isControlUnreachable = true
        repeat(STREAMS) { router.endAttempt(router.beginStream(), Delivered(1, load = null)) }
        router.advance(61_000)
        val streams = router.tables.streams
        withClue("${streams.origins.size} origins are known, ${streams.unreported.size} are to be reported") {
            streams.unreported.size shouldBeLessThanOrEqual streams.origins.size
        }
    }
})
