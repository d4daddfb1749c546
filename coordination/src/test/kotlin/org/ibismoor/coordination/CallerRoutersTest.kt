/**
 * Guards against callers that are sent to routers which a cut separates from control, and against a list that leaves
 * callers without an address or more load than its routers carry.
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

private val FAR = listOf("10.0.0.8", "10.0.0.9")

class CallerRoutersTest : StringSpec({
    "callers are sent to routers on the VMs of replicas" {
        addressesIn(fleet(requestsPerSecond = 10.0)) shouldContainExactly HOSTS
    }

    "callers are sent to all routers when those on the VMs of replicas cannot carry the load" {
        addressesIn(fleet(requestsPerSecond = 500.0)) shouldContainExactly HOSTS + FAR
    }

    "callers are sent to all routers when one on the VM of a replica is left" {
        addressesIn(fleet(requestsPerSecond = 10.0, silent = HOSTS.drop(1))) shouldContainExactly HOSTS.take(1) + FAR
    }
})

private fun addressesIn(tables: CoordinationTables): List<String> =
    callerRouters(tables, CoordinationSettings()).map { it.entry.address.substringBefore(':') }

/** Three replicas, a router on the VM of each, and two routers elsewhere; [silent] hosts have no listed router. */
private fun fleet(requestsPerSecond: Double, silent: List<String> = emptyList()): CoordinationTables {
    val start = CoordinationStart(bootstrapReplica(HOSTS.first()), HOSTS, 1, Timestamp(0))
    val routers = (HOSTS + FAR).associate { host ->
        RouterId(host) to RouterRow(
            entry = RouterEntry("$host:80", FailureDomainId("one")),
            state = RouterState.READY,
            heardAt = Timestamp(0),
            isListed = host !in silent,
            requestsPerSecond = requestsPerSecond,
            session = SessionId(host),
            usage = emptyMap(),
        )
    }
    return restoreCoordination(start, bootstrapRecords(HOSTS), TextCodec()).copy(routers = routers.toPersistentHashMap())
}
