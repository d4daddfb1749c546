package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.router.LoadNotice

class LoadNoticeTest : StringSpec({
    "a load notice keeps its field names on the wire" {
        // Guards against routers of two versions that cannot read each other's notices.
        val notice = LoadNotice("10.0.0.1:80", mapOf(UpstreamId("u1") to 5L))
        val text = """{"from":"10.0.0.1:80","unreadTokens":{"u1":5}}"""
        InternalJson.encodeToString(notice) shouldBe text
        InternalJson.decodeFromString<LoadNotice>(text) shouldBe notice
    }
})
