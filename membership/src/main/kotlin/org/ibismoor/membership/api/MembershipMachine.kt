/**
 * Entry points of the membership module for a control process.
 */
package org.ibismoor.membership.api

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.internal.MembershipMachine

private const val VERSIONS_PER_RUN = 1_000_000_000L

fun createMembership(
    settings: MembershipSettings,
): TickMachine<MembershipTables, MembershipMessage, MembershipEffect> = MembershipMachine(settings)

/** Tables of a control process that starts at [now]. Each replica and each run gets its own range of versions. */
fun initialMembershipTables(
    replica: ReplicaId,
    settings: MembershipSettings,
    now: Timestamp,
): MembershipTables {
    val run = Math.floorMod(replica.hashCode() + now.millis, VERSIONS_PER_RUN) + 1
    return MembershipTables(
        replica = replica,
        firstVersion = run * VERSIONS_PER_RUN,
        summaryDue = now + settings.summaryMillis,
    )
}
