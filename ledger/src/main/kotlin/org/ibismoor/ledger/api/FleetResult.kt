/**
 * What applying a fleet command came to. Every replica computes the same result; the process that proposed the
 * command hands it to whoever asked.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason

@Serializable
sealed interface FleetResult

/** The command took effect, or had taken effect before. */
@Serializable
@SerialName("applied")
data object Applied : FleetResult

/**
 * The publication lost against [winner], whose content has [winnerDigest]; null if the number is below the current
 * one.
 */
@Serializable
@SerialName("publication_conflict")
data class PublicationConflict(
    val winner: ConfigurationNumber,
    val winnerDigest: String?,
    val problem: String,
) : FleetResult

/** The delta was made against another number than [current]; it has to be made again. */
@Serializable
@SerialName("stale_delta")
data class StaleDelta(val current: ConfigurationNumber) : FleetResult

/** The claim is refused. */
@Serializable
@SerialName("claim_refused")
data class ClaimRefused(
    val reason: RefusalReason,
    val outcome: Outcome,
    val recordedStatus: Int? = null,
) : FleetResult

/** The command breaks a rule of the state machine and changed nothing. */
@Serializable
@SerialName("command_refused")
data class CommandRefused(val problem: String) : FleetResult
