/**
 * How publishing ended.
 */
package org.ibismoor.operator.api

import org.ibismoor.declarations.api.PublicationAnswer

sealed interface PublishOutcome

/** A control process decided. */
data class Decided(val answer: PublicationAnswer) : PublishOutcome

/** No decision in time. The set may have been accepted; publishing it again under the same number is safe. */
data class Undecided(val problem: String) : PublishOutcome
