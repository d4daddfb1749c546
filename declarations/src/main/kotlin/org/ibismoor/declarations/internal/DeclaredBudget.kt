/**
 * A declared budget with its grants in budget tokens.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.declarations.api.DeclarationLimits

internal data class DeclaredBudget(
    val name: Located<String>,
    val organisation: Located<String>,
    val grants: List<DeclaredGrant>,
)

internal data class DeclaredGrant(val id: Located<String>, val tokens: Long)

internal fun readBudget(node: RecordNode): ParseResult<DeclaredBudget> {
    val name = node.required("name", NameType)
    val organisation = node.required("organisation", NameType)
    val grants = node.records("grants", ::readGrant)
    return node.build(listOf(name, organisation, grants)) {
        DeclaredBudget(name.located, organisation.located, grants.located.value)
    }
}

private fun readGrant(node: RecordNode): ParseResult<DeclaredGrant> {
    val id = node.required("id", NameType)
    val tokens = node.required("tokens", WholeNumberType(1L..DeclarationLimits.MAXIMUM_TOKENS))
    return node.build(listOf(id, tokens)) { DeclaredGrant(id.located, tokens.located.value) }
}
