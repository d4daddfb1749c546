/**
 * Settings that name control processes outside the group.
 */
package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.CoordinationSettings

private const val SEED_COUNT = 20
private val SIX_HOSTS = List(6) { "10.0.0.${it + 1}" }

class SeedTurnoverTest : StringSpec({
    "control processes outside the group name the leader after all were restarted with settings that name only them" {
        // Guards against routers without service for good: their settings name processes that know no member, and no
        // member asks these.
        repeat(SEED_COUNT) { seed ->
            val fleet = SimulatedFleet(seed, CoordinationSettings(toleratedLosses = 1), SIX_HOSTS)
            SIX_HOSTS.forEach(fleet::start)
            runUntil(fleet) { fleet.leader != null }
            publishUntilAcknowledged(fleet, 7, SIX_HOSTS)
            fleet.run(2_000)
            val outside = SIX_HOSTS - fleet.votersAt(fleet.leader.shouldNotBeNull()).toSet()
            fleet.settingsHosts = outside
            SIX_HOSTS.forEach(fleet::kill)
            fleet.dropMessagesInFlight()
            SIX_HOSTS.forEach(fleet::start)
            fleet.run(4_000)
            outside.forEach { fleet.leaderNamedAt(it) shouldBe fleet.leader.shouldNotBeNull() }
        }
    }
})
