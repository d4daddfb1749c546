/**
 * Guards against sending callers to routers that a network partition separates from the control processes, and against
 * a list that is empty or whose routers cannot carry the load.
 */
package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterRow
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.coordination.api.bootstrapRecords
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.coordination.internal.callerRouters
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp

private val OTHER_HOSTS = listOf("10.0.0.8", "10.0.0.9")

class CallerRoutersTest : StringSpec({
    "callers are sent to colocated routers" {
        callerHosts(fleet(requestsPerSecond = 10.0)) shouldContainExactly HOSTS
    }

    "callers are sent to all routers when the colocated ones cannot carry the load" {
        callerHosts(fleet(requestsPerSecond = 500.0)) shouldContainExactly HOSTS + OTHER_HOSTS
    }

    "callers are sent to all routers when only one colocated router is left" {
        callerHosts(fleet(requestsPerSecond = 10.0, unlisted = HOSTS.drop(1))) shouldContainExactly
            HOSTS.take(1) + OTHER_HOSTS
    }

    "callers that are placed by room are sent to all routers" {
        val routers = fleet(requestsPerSecond = 10.0).withRooms(isAutomatic = false)
        callerHosts(routers) shouldContainExactly HOSTS + OTHER_HOSTS
    }

    "an automatic placement is by room only if routers beside the colocated ones are unequal" {
        // Guards against a change for deployments in service, whose routers are equal.
        val equal = fleet(requestsPerSecond = 10.0).withRooms(isAutomatic = true)
        callerHosts(equal) shouldContainExactly HOSTS
        callerRouters(equal, CoordinationSettings()).mapNotNull { it.entry.room } shouldBe emptyList()
        val unequal = equal.withRooms(isAutomatic = true, firstOtherCores = 0.5)
        callerHosts(unequal) shouldContainExactly HOSTS + OTHER_HOSTS
    }

    "callers are placed by room only if all routers report theirs" {
        // Guards against a release of which only some processes run: the others answer by failure domain.
        val routers = fleet(requestsPerSecond = 10.0).withRooms(isAutomatic = false)
        val first = checkNotNull(routers.routers[RouterId(OTHER_HOSTS.first())])
        val earlier = first.copy(entry = first.entry.copy(room = null))
        val mixed = routers.copy(routers = routers.routers.put(RouterId(OTHER_HOSTS.first()), earlier))
        callerHosts(mixed) shouldContainExactly HOSTS
    }
})

private fun CoordinationTables.withRooms(isAutomatic: Boolean, firstOtherCores: Double = 1.0): CoordinationTables {
    val rows = routers.mapValues { (router, row) ->
        val cores = if (router.text == OTHER_HOSTS.first()) firstOtherCores else 1.0
        row.copy(entry = row.entry.copy(room = 10, cores = cores), isPlacementAutomatic = isAutomatic)
    }
    return copy(routers = rows.toPersistentHashMap())
}

private fun callerHosts(tables: CoordinationTables): List<String> =
    callerRouters(tables, CoordinationSettings()).map { it.entry.address.substringBefore(':') }

/**
 * Three replicas with a colocated router each, and two routers on other VMs. Routers on [unlisted] hosts are not
 * listed.
 */
private fun fleet(requestsPerSecond: Double, unlisted: List<String> = emptyList()): CoordinationTables {
    val start = CoordinationStart(bootstrapReplica(HOSTS.first()), HOSTS, 1, Timestamp(0))
    val routers = (HOSTS + OTHER_HOSTS).associate { host ->
        RouterId(host) to RouterRow(
            entry = RouterEntry("$host:80", FailureDomainId("one")),
            state = RouterState.READY,
            lastReportAt = Timestamp(0),
            isListed = host !in unlisted,
            requestsPerSecond = requestsPerSecond,
            session = SessionId(host),
            usage = emptyMap(),
        )
    }
    return restoreCoordination(start, bootstrapRecords(HOSTS), TextCodec())
        .copy(routers = routers.toPersistentHashMap())
}
