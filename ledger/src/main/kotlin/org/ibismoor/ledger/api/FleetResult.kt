/**
 * Result of a fleet command. Every replica computes the same one; the process that proposed the command passes it on to
 * the sender.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason

@Serializable
sealed interface FleetResult

/** The command took effect, now or earlier. */
@Serializable
@SerialName("applied")
data object Applied : FleetResult

/**
 * The publication conflicts with publication [winner], whose content has [winnerDigest]. The digest is null if nothing
 * has been published yet. [problem] gives the reason.
 */
@Serializable
@SerialName("publication_conflict")
data class PublicationConflict(
    val winner: ConfigurationNumber,
    val winnerDigest: String?,
    val problem: String,
) : FleetResult

/** The delta is based on a number other than [current]; it has to be made again from that one. */
@Serializable
@SerialName("stale_delta")
data class StaleDelta(val current: ConfigurationNumber) : FleetResult

@Serializable
@SerialName("claim_refused")
data class ClaimRefused(
    val reason: RefusalReason,
    val outcome: Outcome,
    val recordedStatus: Int? = null,
) : FleetResult

/** The command violates a rule of the state machine and changed nothing. */
@Serializable
@SerialName("command_refused")
data class CommandRefused(val problem: String) : FleetResult
