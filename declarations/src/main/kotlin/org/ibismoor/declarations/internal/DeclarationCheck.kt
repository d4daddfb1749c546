/**
 * A check of a whole set of declarations, such as references between files.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal fun interface DeclarationCheck {
    fun findings(declared: DeclaredTables): List<Finding>
}
