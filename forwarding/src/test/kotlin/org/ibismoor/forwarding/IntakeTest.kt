package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.ForwardingTimes

class IntakeTest : StringSpec({
    "a router without a configuration says that it is not ready, never that a route is unknown" {
        // Guards against a final refusal of proper requests by a router that has just started.
        val router = RouterDouble()
        val number = router.arrive("/status/1")
        router.refusalOf(number)?.reason shouldBe RefusalReason.NOT_READY
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
    }

    "callers of a router that has just started come back when it can be ready" {
        // Guards against callers that use up their only repeat while the fleet still starts.
        val router = RouterDouble()
        val number = router.arrive("/status/1")
        router.refusalOf(number)?.retryAfterMillis shouldBe ForwardingTimes().startMillis
    }

    "an unknown key is refused before anything is sent" {
        val router = RouterDouble().started()
        val number = router.arrive("/status/1", key = ApiKeyDigest("other"))
        router.refusalOf(number)?.reason shouldBe RefusalReason.UNAUTHENTICATED
    }

    "a path that no prefix begins has no route" {
        val router = RouterDouble().started()
        val number = router.arrive("/status")
        router.refusalOf(number)?.reason shouldBe RefusalReason.UNKNOWN_ROUTE
    }

    "an older configuration never replaces a newer one" {
        val router = RouterDouble().started(configurationOf(5, null))
        router.started(configurationOf(4, null))
        router.tables.configuration?.version shouldBe 5
    }
})
