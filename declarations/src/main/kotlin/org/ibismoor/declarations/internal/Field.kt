/**
 * One field of a record: its name, its located value and the findings of its reading.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal data class Field<out T>(val name: String, val located: Located<T>, val findings: List<Finding>)
