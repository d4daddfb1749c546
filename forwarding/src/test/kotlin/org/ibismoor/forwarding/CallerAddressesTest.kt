/**
 * Guards against directing callers to a router that cannot decide on budgets, and against an empty list while a router
 * serves.
 */
package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.callerAddresses

private val SOUTH = FailureDomainId("south")

class CallerAddressesTest : StringSpec({
    "a listed router with contact with the leader includes itself" {
        val router = RouterHarness().start()
        addressesOf(router.tables, router.now) shouldContain OWN_ENTRY.address
    }

    "a router without contact with control processes excludes itself" {
        val router = RouterHarness().start()
        router.isControlUnreachable = true
        router.advance(3_000)
        addressesOf(router.tables, router.now) shouldNotContain OWN_ENTRY.address
    }

    "a router without contact includes itself if it has no other router to offer" {
        val router = RouterHarness().start()
        router.isControlUnreachable = true
        router.advance(3_000)
        val alone = router.tables.copy(fleet = router.tables.fleet.copy(routers = emptyList()))
        addressesOf(alone, router.now) shouldBe listOf(OWN_ENTRY.address)
    }
})

private fun addressesOf(tables: ForwardingTables, now: Timestamp): List<String> =
    tables.callerAddresses(SOUTH, OWN_ENTRY, now).map { it.address }
