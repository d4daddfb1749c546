package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import org.ibismoor.coordination.api.AnsweredRequest
import org.ibismoor.coordination.api.BegunPart
import org.ibismoor.coordination.api.EngineCrash
import org.ibismoor.coordination.api.PromptEvidence
import org.ibismoor.coordination.api.QuarantineUpdate
import org.ibismoor.coordination.api.QuarantinedPart
import org.ibismoor.coordination.api.QuarantinedRequest
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RequestCrash
import org.ibismoor.coordination.api.RequestEvidence
import org.ibismoor.coordination.api.RequestQuarantineUpdate
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.gateway.internal.InternalJson

private const val OLD_REPORT =
    """{"router":"r","session":"s","entry":{"address":"10.0.0.1:80","domain":"north"},"state":"READY",""" +
        """"configurationVersion":1,"upstreamRevision":1,"requestsPerSecond":1.0,"usage":[]}"""
private const val OLD_ANSWER = """{"isLeading":true,"leader":null,"replicas":[]}"""

class ReportEncodingTest : StringSpec({
    "messages of processes without quarantines are readable" {
        // Guards against a rolling update in which old and new processes cannot talk to each other.
        InternalJson.decodeFromString<RouterReport>(OLD_REPORT).prompts.shouldBeNull()
        InternalJson.decodeFromString<ReportAnswer>(OLD_ANSWER).prompts.shouldBeNull()
        InternalJson.decodeFromString<RouterReport>(OLD_REPORT).requests.shouldBeNull()
        InternalJson.decodeFromString<ReportAnswer>(OLD_ANSWER).requests.shouldBeNull()
    }

    "messages without evidence are the same as before" {
        val report = InternalJson.encodeToString(InternalJson.decodeFromString<RouterReport>(OLD_REPORT))
        val answer = InternalJson.encodeToString(ReportAnswer(true, null, emptyList()))
        listOf(report, answer).forEach { text ->
            text shouldNotContain "prompts"
            text shouldNotContain "requests\""
            text shouldNotContain "room"
            text shouldNotContain "loadPerMille"
            text shouldNotContain "isPlacementAutomatic"
        }
    }

    "the room of a router survives encoding" {
        val entry = RouterEntry("10.0.0.1:80", FailureDomainId("north"), room = 80, loadPerMille = 60)
        val report = InternalJson.decodeFromString<RouterReport>(OLD_REPORT)
        val reportWithRoom = report.copy(entry = entry, isPlacementAutomatic = true)
        InternalJson.decodeFromString<RouterReport>(InternalJson.encodeToString(reportWithRoom)) shouldBe reportWithRoom
        val answer = ReportAnswer(true, null, emptyList(), routers = listOf(entry))
        InternalJson.decodeFromString<ReportAnswer>(InternalJson.encodeToString(answer)) shouldBe answer
    }

    "evidence and decisions on prompt parts survive encoding" {
        val crash = EngineCrash("10.1.0.1:80", UpstreamGroupId("engines"), 12, mapOf("a" to listOf("own")), 3)
        val held = QuarantinedPart("c", 1_000, failedProbes = 1)
        val report = RouterReport(
            router = RouterId("r"),
            session = SessionId("s"),
            entry = RouterEntry("10.0.0.1:80", FailureDomainId("north")),
            state = RouterState.READY,
            configurationVersion = 1,
            upstreamRevision = 1,
            requestsPerSecond = 1.0,
            usage = emptyList(),
            prompts = PromptEvidence(listOf(crash), listOf(BegunPart("b", 5)), listOf(held)),
        )
        InternalJson.decodeFromString<RouterReport>(InternalJson.encodeToString(report)) shouldBe report
        val answer = ReportAnswer(true, null, emptyList(), prompts = QuarantineUpdate(listOf("a"), listOf(held)))
        InternalJson.decodeFromString<ReportAnswer>(InternalJson.encodeToString(answer)) shouldBe answer
    }

    "evidence and decisions on requests survive encoding" {
        val digest = RequestDigest("0123")
        val held = QuarantinedRequest(digest, crashes = 3, remainingMillis = 1_000, isProbeAllowed = true)
        val evidence = RequestEvidence(
            crashes = listOf(RequestCrash(digest, "10.1.0.1:80", 12, isRepeat = true)),
            answered = listOf(AnsweredRequest(digest, 5)),
            quarantines = listOf(held),
        )
        val report = InternalJson.decodeFromString<RouterReport>(OLD_REPORT).copy(requests = evidence)
        InternalJson.decodeFromString<RouterReport>(InternalJson.encodeToString(report)) shouldBe report
        val update = RequestQuarantineUpdate(listOf(digest), listOf(held))
        val answer = ReportAnswer(true, null, emptyList(), requests = update)
        InternalJson.decodeFromString<ReportAnswer>(InternalJson.encodeToString(answer)) shouldBe answer
    }

    "the fields of evidence and decisions on requests keep their names" {
        // Guards against processes of two versions that ignore each other's evidence.
        val digest = RequestDigest("0123")
        InternalJson.encodeToString(RequestCrash(digest, "10.1.0.1:80", 12, isRepeat = true)) shouldBe
            """{"digest":"0123","upstream":"10.1.0.1:80","ageMillis":12,"isRepeat":true}"""
        InternalJson.encodeToString(QuarantinedRequest(digest, 3, 10, isProbeAllowed = true)) shouldBe
            """{"digest":"0123","crashes":3,"remainingMillis":10,"isProbeAllowed":true}"""
    }
})
