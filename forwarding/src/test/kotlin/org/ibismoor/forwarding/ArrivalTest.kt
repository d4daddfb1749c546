package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.ForwardingTimes

class ArrivalTest : StringSpec({
    "a router without a configuration refuses with NOT_READY and not with UNKNOWN_ROUTE" {
        // Guards against a permanent refusal of valid requests by a router that has just started.
        val router = RouterHarness()
        val number = router.sendRequest("/status/1")
        router.refusalOf(number)?.reason shouldBe RefusalReason.NOT_READY
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
    }

    "the retry time of a starting router covers the time until it is ready" {
        // Guards against callers that use up their only retry while the fleet is starting.
        val router = RouterHarness()
        val number = router.sendRequest("/status/1")
        router.refusalOf(number)?.retryAfterMillis shouldBe ForwardingTimes().startRetryAfterMillis
    }

    "an unknown key is refused before anything is sent" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1", key = ApiKeyDigest("other"))
        router.refusalOf(number)?.reason shouldBe RefusalReason.UNAUTHENTICATED
    }

    "a path without a matching prefix has no route" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/status")
        router.refusalOf(number)?.reason shouldBe RefusalReason.UNKNOWN_ROUTE
    }

    "an older configuration never replaces a newer one" {
        val router = RouterHarness().start(configurationOf(5, null))
        router.start(configurationOf(4, null))
        router.tables.configuration?.version shouldBe 5
    }
})
