package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.router.ContactStatus

class ContactStatusTest : StringSpec({
    "a contact status keeps its field name on the wire" {
        // Guards against routers of two versions that cannot read each other's answers.
        val text = """{"hasLeader":false}"""
        InternalJson.encodeToString(ContactStatus(false)) shouldBe text
        InternalJson.decodeFromString<ContactStatus>(text) shouldBe ContactStatus(false)
    }
})
