/**
 * A declared value and its place, so that checks over the whole set can name the place.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Place

internal data class Located<out T>(val value: T, val place: Place)
