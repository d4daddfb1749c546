/**
 * Reads one declaration file. A file ends with the YAML document end marker `...`, so that a truncated file is
 * recognised even when the rest is valid YAML.
 */
package org.ibismoor.declarations.internal

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.declarations.api.DeclarationLimits
import org.ibismoor.declarations.api.DeclarationSource

/** Length to which a finding shortens a message of the YAML parser. */
private const val MAXIMUM_MESSAGE_CHARACTERS = 200

private val yaml = Yaml(configuration = YamlConfiguration(codePointLimit = DeclarationLimits.MAXIMUM_FILE_CHARACTERS))

internal fun readFile(source: DeclarationSource): ParseResult<DeclaredTables> {
    val findings = textFindings(source)
    return if (findings.isEmpty()) readText(source) else ParseResult(DeclaredTables(), findings)
}

private fun readText(source: DeclarationSource): ParseResult<DeclaredTables> =
    try {
        readDocument(source.path, yaml.parseToYamlNode(source.text))
    } catch (e: YamlException) {
        ParseResult(DeclaredTables(), listOf(malformed(source, e)))
    }

private fun malformed(source: DeclarationSource, cause: YamlException): Finding {
    val place = Place(source.path, cause.line, cause.column)
    val problem = cause.message.lineSequence().first().take(MAXIMUM_MESSAGE_CHARACTERS)
    return Finding(place, "malformed YAML: $problem", "correct the syntax at this place")
}

private fun readDocument(path: String, root: YamlNode): ParseResult<DeclaredTables> {
    val node = RecordNode(path, root)
    val organisations = node.records("organisations", ::readOrganisation)
    val budgets = node.records("budgets", ::readBudget)
    val models = node.records("model_routes", ::readModelRoute)
    val services = node.records("service_routes", ::readServiceRoute)
    val upstreams = node.records("upstreams", ::readUpstream)
    val members = node.records("control", ::readMember)
    val settings = node.record("settings", ::readSettings)
    return node.build(listOf(organisations, budgets, models, services, upstreams, members, settings)) {
        DeclaredTables(
            organisations.located.value.toPersistentList(),
            budgets.located.value.toPersistentList(),
            (models.located.value + services.located.value).toPersistentList(),
            upstreams.located.value.toPersistentList(),
            members.located.value.toPersistentList(),
            settings.located.value?.let { persistentListOf(Located(it, settings.located.place)) } ?: persistentListOf(),
        )
    }
}
