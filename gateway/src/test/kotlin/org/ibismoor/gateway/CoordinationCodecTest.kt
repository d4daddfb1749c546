package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.LoggedRequestQuarantine
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.gateway.internal.control.JsonCoordinationCodec

private const val OLD_COMMAND = """{"type":"allowances","sessions":[],"moves":[]}"""
private val DIGEST = RequestDigest("0123")

class CoordinationCodecTest : StringSpec({
    "commands and snapshots of an earlier release are readable" {
        // Guards against a control process that cannot open the log that it wrote before an update.
        JsonCoordinationCodec.readCommand(OLD_COMMAND) shouldBe MoveAllowances(emptyList(), emptyList())
        JsonCoordinationCodec.readState("{}").requestQuarantines.shouldBeEmpty()
    }

    "commands and snapshots without quarantines are the same as before" {
        JsonCoordinationCodec.writeCommand(MoveAllowances(emptyList(), emptyList())) shouldBe OLD_COMMAND
        JsonCoordinationCodec.writeState(CoordinationState()) shouldNotContain "requestQuarantines"
    }

    "quarantines of requests survive encoding" {
        val command = MoveAllowances(emptyList(), emptyList(), listOf(LoggedRequestQuarantine(DIGEST, 3)))
        JsonCoordinationCodec.readCommand(JsonCoordinationCodec.writeCommand(command)) shouldBe command
        val state = CoordinationState(requestQuarantines = persistentHashMapOf(DIGEST to 3))
        JsonCoordinationCodec.readState(JsonCoordinationCodec.writeState(state)) shouldBe state
    }
})
