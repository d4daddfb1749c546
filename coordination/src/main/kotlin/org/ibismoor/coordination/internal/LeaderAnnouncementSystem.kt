/**
 * Announces the leader to the control processes that the settings name and that are outside the group. After a restart
 * of all processes these know no member, so the leader has to reach them.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.SendLeaderAnnouncement
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.Tick

internal class LeaderAnnouncementSystem(private val settings: CoordinationSettings) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val isDue = tables.nextAnnouncementAt.let { it == null || tick.now >= it }
        if (tables.leadingSince == null || !isDue) return CoordinationStep(tables)
        val hosts = tables.seedHosts - tables.replicas().map(::hostOf).toSet()
        val next = tables.copy(nextAnnouncementAt = tick.now + settings.joinRetryMillis)
        return CoordinationStep(
            next,
            listOf(SendLeaderAnnouncement(tables.replica, hosts)).filter { hosts.isNotEmpty() },
        )
    }
}
