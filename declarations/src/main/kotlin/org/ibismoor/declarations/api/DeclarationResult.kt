/**
 * Result of reading a set of declaration files: the configuration that they declare, or every finding.
 */
package org.ibismoor.declarations.api

import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.Finding

sealed interface DeclarationResult

/**
 * The set has no faults. [tables] have no publication number yet. [digest] is the SHA-256 of the content in a canonical
 * order, so that the same declarations in other files or in another order have the same digest.
 */
data class AcceptedDeclarations(val tables: ConfigurationTables, val digest: String) : DeclarationResult

/** The set has faults. [findings] are in the order of their places. */
data class RejectedDeclarations(val findings: List<Finding>) : DeclarationResult
