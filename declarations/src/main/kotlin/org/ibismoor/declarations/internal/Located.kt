/**
 * A declared value and its place, which the findings of later checks name.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Place

internal data class Located<out T>(val value: T, val place: Place)
