package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldMatch
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.gateway.api.RequestFields
import org.ibismoor.gateway.internal.router.ReceivedRequest
import org.ibismoor.gateway.internal.router.digest

class RequestDigestTest : StringSpec({
    "a repetition with another call identifier and deadline has the same digest" {
        // Guards against a request that escapes its quarantine because each repetition has headers of its own.
        val first = request(fields = fields("call-1", deadlineMillis = 4_000))
        val second = request(fields = fields("call-2", deadlineMillis = 1_000))
        second.digest() shouldBe first.digest()
        first.digest().text shouldMatch "[0-9a-f]{32}"
    }

    "requests that differ in any part of their content have different digests" {
        // Guards against a quarantine that refuses other requests of the same caller or the same route.
        val requests = listOf(
            request(),
            request(host = "other.example"),
            request(uri = "/status/1?day=2"),
            request(uri = "/status/2"),
            request(method = HttpMethod.POST),
            request(fields = fields(key = null)),
            request(fields = fields(key = ApiKeyDigest("other"))),
            request(body = "other"),
            request(body = ""),
        )
        requests.map { it.digest() }.distinct().size shouldBe requests.size
    }

    "text that moves from one field to the next changes the digest" {
        // Guards against fields that are joined without a boundary.
        request(host = "desk", uri = "/a").digest() shouldNotBe request(host = "desk/", uri = "a").digest()
        request(fields = fields(key = ApiKeyDigest("k")), body = "ey").digest() shouldNotBe
            request(fields = fields(key = ApiKeyDigest("ke")), body = "y").digest()
    }
})

private fun fields(
    callId: String = "call",
    deadlineMillis: Long? = 4_000,
    key: ApiKeyDigest? = ApiKeyDigest("key"),
) = RequestFields(callId, key, deadlineMillis, prompt = null, lastEventId = null)

private fun request(
    host: String = "desk.example",
    uri: String = "/status/1",
    method: HttpMethod = HttpMethod.GET,
    fields: RequestFields = fields(),
    body: String = "body",
) = ReceivedRequest(method, uri, host, DefaultHttpHeaders(), fields, body.encodeToByteArray())
