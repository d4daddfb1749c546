/**
 * One field of a record: its name, its value with its place, and the findings from reading it.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal data class Field<out T>(val name: String, val located: Located<T>, val findings: List<Finding>)
