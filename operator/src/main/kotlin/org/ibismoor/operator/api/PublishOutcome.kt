/**
 * Result of publishing a declaration set.
 */
package org.ibismoor.operator.api

import org.ibismoor.declarations.api.PublicationAnswer

sealed interface PublishOutcome

/** A control process answered that the set is accepted, rejected or in conflict. */
data class DecidedPublication(val answer: PublicationAnswer) : PublishOutcome

/** No decision within the attempts. The set may have been accepted; publishing it again under its number is safe. */
data class UndecidedPublication(val problem: String) : PublishOutcome
