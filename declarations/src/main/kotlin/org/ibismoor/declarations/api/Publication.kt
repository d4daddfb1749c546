/**
 * Body of `POST /internal/v1/publications`: the whole set of declaration files and its publication number.
 */
package org.ibismoor.declarations.api

import kotlinx.serialization.Serializable

@Serializable
data class Publication(val number: Long, val sources: List<DeclarationSource>)
