/**
 * One declaration file: the path by which findings name it, and its text.
 */
package org.ibismoor.declarations.api

import kotlinx.serialization.Serializable

@Serializable
data class DeclarationSource(val path: String, val text: String)
