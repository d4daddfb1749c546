/**
 * Commands of the replicated log.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId

@Serializable
sealed interface CoordinationCommand

/** Puts a configuration in force if its version is higher than the current one. */
@Serializable
@SerialName("publish")
data class PublishConfiguration(val configuration: PublishedConfiguration) : CoordinationCommand

/**
 * Starts sessions, then moves tokens between budgets and sessions, puts [quarantines] in force or ends them, changes
 * what is known of [streams], and follows orders on failure domains. The latter three have no command of their own,
 * since a replica of an earlier release cannot read an unknown command.
 */
@Serializable
@SerialName("allowances")
data class MoveAllowances(
    val sessions: List<SessionStart>,
    val moves: List<AllowanceMove>,
    val quarantines: List<LoggedRequestQuarantine> = emptyList(),
    val streams: StreamChanges? = null,
    val evacuations: List<EvacuationChange> = emptyList(),
) : CoordinationCommand

/** A new [session] of [router]. It proves that the previous session has ended. */
@Serializable
data class SessionStart(val router: RouterId, val session: SessionId)

/**
 * Issues [issued] additional tokens to [session]. [returned] and [settled] are the totals that the session has returned
 * and spent since its start.
 */
@Serializable
data class AllowanceMove(
    val organisation: OrganisationId,
    val session: SessionId,
    val issued: Long,
    val returned: Long,
    val settled: Long,
)
