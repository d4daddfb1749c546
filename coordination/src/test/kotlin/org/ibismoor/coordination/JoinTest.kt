package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.SeedHostsChanged
import org.ibismoor.coordination.api.SendJoinRequest
import org.ibismoor.coordination.api.createCoordination
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime

class JoinTest : StringSpec({
    "a replica without a group sends join requests to the seed hosts in the current settings" {
        // Guards against a replica that lost its disk and sends join requests only to hosts that no longer exist.
        val settings = CoordinationSettings()
        val machine = createCoordination(TextCodec(), settings)
        val replica = ReplicaId(FailureDomainId("10.0.0.9"), 2)
        val start = CoordinationStart(replica, listOf("10.0.0.1"), 1, Timestamp(0))
        var tables = restoreCoordination(start, emptyList(), TextCodec())
        val requests = mutableListOf<SendJoinRequest>()
        fun tick(millis: Long, messages: List<CoordinationMessage>) {
            val step = machine.run(tables, Tick(Timestamp(millis), WallTime(millis), messages))
            tables = step.tables
            requests += step.effects.filterIsInstance<SendJoinRequest>()
        }
        tick(1, emptyList())
        tick(2, listOf(SeedHostsChanged(listOf("10.0.0.2", "10.0.0.3"))))
        tick(settings.joinRetryMillis + 2, emptyList())
        requests.single().hosts shouldContainExactly listOf("10.0.0.2", "10.0.0.3")
    }
})
