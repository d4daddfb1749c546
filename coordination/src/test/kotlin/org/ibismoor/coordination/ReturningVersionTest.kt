package org.ibismoor.coordination

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.StreamEvidence
import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.coordination.api.StreamQuestion
import org.ibismoor.coordination.api.StreamTables
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.UpstreamListReceived
import org.ibismoor.coordination.internal.SoftwareVersionSystem
import org.ibismoor.coordination.internal.UpstreamListSystem
import org.ibismoor.coordination.internal.applyCommand
import org.ibismoor.coordination.internal.reportAnswer
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.StreamDigest
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.WallTime

private val GROUP = UpstreamGroupId("engines")
private val RETURNING = SoftwareVersion("v1")
private val STAYING = SoftwareVersion("v2")
private val settings = CoordinationSettings()

class ReturningVersionTest : StringSpec({
    "a version that returns while the fleet is about to forget it is not listed as long as it can be forgotten" {
        // Guards against streams that begin at a listed version which is no longer among those that may begin one.
        val codec = TextCodec()
        val versions = SoftwareVersionSystem(codec, settings)
        val known = StreamTables(versions = persistentHashMapOf(GROUP to listOf(RETURNING, STAYING)))
        val leader = leaderTables(CoordinationState(streams = known), emptyList(), 1_000)
            .copy(absentVersions = persistentHashMapOf(StreamOrigin(GROUP, RETURNING) to Timestamp(0)))

        val forgetting = versions.run(leader, readingAt(settings.streamRetentionMillis, listOf(STAYING))).tables
        val returned = readingAt(settings.streamRetentionMillis + 100, listOf(RETURNING, STAYING))
        val listing = UpstreamListSystem().run(versions.run(forgetting, returned).tables, returned).tables
        val proposals = listing.consensusInputs.filterIsInstance<ProposalReceived>()
        val commands = proposals.map { codec.readCommand(it.payload) }
        val committed = listing.copy(state = commands.fold(listing.state, ::applyCommand))

        val isListed = listing.upstreams?.upstreams.orEmpty().any { it.version == RETURNING }
        val soleVersion = soleVersionOf(committed)
        withClue("routers list the returned version: $isListed, sole version in answers: $soleVersion") {
            (isListed && soleVersion == STAYING) shouldBe false
        }
    }
})

private fun soleVersionOf(tables: CoordinationTables): SoftwareVersion? {
    val question = StreamQuestion(StreamDigest("00"), GROUP)
    val report = reportOf("10.0.0.9", demand = 1.0).copy(streams = StreamEvidence(asked = listOf(question)))
    return reportAnswer(tables, report, settings).streams.single().soleVersion
}

private fun readingAt(millis: Long, versions: List<SoftwareVersion>): Tick<CoordinationMessage> =
    Tick(Timestamp(millis), WallTime(millis), listOf(UpstreamListReceived(versions.map(::entryOf))))

private fun entryOf(version: SoftwareVersion): UpstreamEntry =
    UpstreamEntry(
        id = UpstreamId("engine-$version"),
        group = GROUP,
        address = "10.0.2.1:80",
        domain = FailureDomainId("one"),
        slots = 4,
        isLeaving = false,
        coldMillis = 0,
        version = version,
    )
