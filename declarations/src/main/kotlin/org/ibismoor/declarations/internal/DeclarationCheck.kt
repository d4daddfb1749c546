/**
 * A check over everything that a set declares.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal fun interface DeclarationCheck {
    fun findings(declared: DeclaredTables): List<Finding>
}
