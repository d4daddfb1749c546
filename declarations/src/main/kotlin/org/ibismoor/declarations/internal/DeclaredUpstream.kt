/**
 * A declared upstream: a model engine or a worker of a plain service.
 */
package org.ibismoor.declarations.internal

internal data class DeclaredUpstream(
    val name: Located<String>,
    val group: Located<String>,
    val domain: Located<String>,
    val url: Located<String>,
    val checksFencing: Boolean,
    val supportsResume: Boolean,
)

internal fun readUpstream(node: RecordNode): ParseResult<DeclaredUpstream> {
    val name = node.required("name", NameType)
    val group = node.required("group", NameType)
    val domain = node.required("domain", FailureDomainType)
    val url = node.required("url", UrlType)
    val fencing = node.optional("checks_fencing", FlagType, false)
    val resume = node.optional("supports_resume", FlagType, false)
    return node.build(listOf(name, group, domain, url, fencing, resume)) {
        DeclaredUpstream(
            name.located,
            group.located,
            domain.located,
            url.located,
            fencing.located.value,
            resume.located.value,
        )
    }
}
