package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.bootstrapRecords
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.core.api.Timestamp

private const val BUDGET = 1_000L

class RestartTest : StringSpec({
    "a restarted replica knows no upstreams and no routers of before" {
        // Guards against an upstream that left during the restart and is in use again after it.
        val start = CoordinationStart(bootstrapReplica(HOSTS.first()), HOSTS, 1, Timestamp(0))
        val tables = restoreCoordination(start, bootstrapRecords(HOSTS), TextCodec())
        tables.upstreams.shouldBeNull()
        tables.routers.keys.shouldBeEmpty()
    }

    "after a restart of all replicas no configuration older than the acknowledged one is in force" {
        // Guards against a withdrawn key that an older version, in force again after the restart, still has.
        repeat(20) { seed ->
            val fleet = SimulatedFleet(seed)
            HOSTS.forEach(fleet::start)
            fleet.run(2_500)
            listOf(3L, 5L).forEach { version ->
                HOSTS.forEach { fleet.publish(it, version, BUDGET) }
                fleet.run(1_000)
            }
            val acknowledged = fleet.acknowledgedVersion
            acknowledged shouldBeGreaterThanOrEqual 3
            HOSTS.forEach(fleet::kill)
            fleet.dropMessagesInFlight()
            HOSTS.forEach(fleet::start)
            fleet.run(4_000)
            HOSTS.forEach { fleet.versionAt(it) shouldBeGreaterThanOrEqual acknowledged }
            (fleet.leader != null) shouldBe true
        }
    }
})
