package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.EvacuationChange
import org.ibismoor.coordination.api.EvacuationList
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.control.JsonCoordinationCodec

private val NORTH = FailureDomainId("north")

class EvacuationEncodingTest : StringSpec({
    "commands, snapshots and answers of an earlier release are readable" {
        // Guards against a rolling update in which a process cannot read the log or the answers of another release.
        val command = JsonCoordinationCodec.readCommand("""{"type":"allowances","sessions":[],"moves":[]}""")
        (command as MoveAllowances).evacuations shouldBe emptyList()
        JsonCoordinationCodec.readState("{}") shouldBe CoordinationState()
        val answer = """{"isLeading":true,"leader":null,"replicas":[]}"""
        InternalJson.decodeFromString<ReportAnswer>(answer).evacuations.shouldBeNull()
    }

    "commands and snapshots without orders are the same as before" {
        val command = MoveAllowances(emptyList(), emptyList())
        JsonCoordinationCodec.writeCommand(command) shouldNotContain "evacuation"
        JsonCoordinationCodec.writeState(CoordinationState()) shouldNotContain "evacuation"
    }

    "orders survive encoding, and their field names do not change" {
        val command = MoveAllowances(emptyList(), emptyList(), evacuations = listOf(EvacuationChange(NORTH, true)))
        val text = JsonCoordinationCodec.writeCommand(command)
        text shouldBe """{"type":"allowances","sessions":[],"moves":[],""" +
            """"evacuations":[{"domain":"north","isEvacuated":true}]}"""
        JsonCoordinationCodec.readCommand(text) shouldBe command
        val state = CoordinationState(evacuations = persistentHashMapOf(NORTH to 7L), evacuationIndex = 9)
        JsonCoordinationCodec.readState(JsonCoordinationCodec.writeState(state)) shouldBe state
        val answer = ReportAnswer(false, null, emptyList(), evacuations = EvacuationList(9, listOf(NORTH)))
        InternalJson.decodeFromString<ReportAnswer>(InternalJson.encodeToString(answer)) shouldBe answer
    }
})
