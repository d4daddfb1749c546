/**
 * Guards against sending callers to routers that a network partition separates from the control processes, and against
 * a list that is empty or whose routers cannot carry the load.
 */
package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
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
})

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
