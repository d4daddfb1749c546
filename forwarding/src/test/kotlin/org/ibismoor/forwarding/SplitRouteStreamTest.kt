package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.RouteTarget

internal val SECOND_GROUP = UpstreamGroupId("second")
private val SECOND_GROUP_ENGINES = List(4) { upstream("second-$it", SECOND_GROUP, SECOND_VERSION) }

class SplitRouteStreamTest : StringSpec({
    "callers of a route with two groups get events of the group and version that began the stream" {
        // Guards against the only version of a group in which the stream did not begin.
        checkContinuedStreams(OLD_ENGINES + SECOND_GROUP_ENGINES, splitConfiguration()) { it.resetCallersFor(6_000) }
    }
})

/** The usual configuration with a second target, of the same weight, on each route to the engines. */
internal fun splitConfiguration(): ForwardingConfiguration {
    val configuration = configurationOf(1, null)
    val engines = OLD_ENGINES.first().group
    val routes = configuration.routes.mapValues { (_, rows) ->
        rows.map { row ->
            if (row.targets.any { it.group == engines }) {
                row.copy(targets = row.targets.add(RouteTarget(SECOND_GROUP, 1)))
            } else {
                row
            }
        }.toPersistentList()
    }
    val groups = configuration.groups.getValue(engines).copy(id = SECOND_GROUP)
    return configuration.copy(
        routes = routes.toPersistentHashMap(),
        groups = configuration.groups.put(SECOND_GROUP, groups),
    )
}
