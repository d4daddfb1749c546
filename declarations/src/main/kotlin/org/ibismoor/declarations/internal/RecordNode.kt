/**
 * Reads the fields of one record of a declaration file. The fields that were read are passed to [RecordNode.build],
 * which reports all others as unknown.
 */
package org.ibismoor.declarations.internal

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place

internal class RecordNode(private val source: String, private val node: YamlNode) {
    private val entries: Map<YamlScalar, YamlNode> = (node as? YamlMap)?.entries.orEmpty()
    val place: Place = placeOf(source, node)

    /** A field that must be present. */
    fun <T : Any> required(name: String, type: ValueType<T>): Field<T> =
        nodeOf(name)?.let { scalar(name, it, type) } ?: missing(name, type)

    /** A field whose value is [default] when it is absent. */
    fun <T : Any> optional(name: String, type: ValueType<T>, default: T): Field<T> =
        nodeOf(name)?.let { scalar(name, it, type) } ?: Field(name, Located(default, place), emptyList())

    /** A list of records; empty when it is absent. */
    fun <T> records(name: String, read: (RecordNode) -> ParseResult<T>): Field<List<T>> {
        val child = nodeOf(name)
        val items = child as? YamlList
        val result = items?.items.orEmpty().map { read(RecordNode(source, it)) }.combined()
        val wrong = if (child == null || items != null) emptyList() else listOf(wrongValue(name, child, "a list"))
        return Field(
            name,
            Located(result.value, child?.let { placeOf(source, it) } ?: place),
            result.findings + wrong
        )
    }

    /** One record; null when it is absent. */
    fun <T> record(name: String, read: (RecordNode) -> ParseResult<T>): Field<T?> {
        val child = nodeOf(name)
        val result = child?.let { read(RecordNode(source, it)) }
        return Field(
            name,
            Located(result?.value, child?.let { placeOf(source, it) } ?: place),
            result?.findings.orEmpty()
        )
    }

    /** The value that [build] makes from [fields], with the findings of all [fields] and one for each unknown field. */
    fun <T> build(fields: List<Field<*>>, build: () -> T): ParseResult<T> {
        val shapeFindings = if (node is YamlMap) {
            emptyList()
        } else {
            listOf(
                Finding(place, "expected a record of fields", "write the fields as `name: value` lines")
            )
        }
        val unknown = unknownFields(fields.map { it.name })
        return ParseResult(build(), shapeFindings + unknown + fields.flatMap { it.findings })
    }

    private fun nodeOf(name: String): YamlNode? = entries.entries.firstOrNull { it.key.content == name }?.value

    private fun <T : Any> scalar(name: String, child: YamlNode, type: ValueType<T>): Field<T> {
        val value = (child as? YamlScalar)?.let { type.parse(it.content) }
        val findings = if (value == null) listOf(wrongValue(name, child, type.description)) else emptyList()
        return Field(name, Located(value ?: type.substitute, placeOf(source, child)), findings)
    }

    private fun <T : Any> missing(name: String, type: ValueType<T>): Field<T> {
        val finding = Finding(place, "field $name is missing", "add $name with ${type.description}")
        return Field(name, Located(type.substitute, place), listOf(finding).filter { node is YamlMap })
    }

    private fun wrongValue(name: String, child: YamlNode, expected: String): Finding {
        val problem = if (child is YamlNull) "field $name has no value" else "field $name has a wrong value"
        return Finding(placeOf(source, child), problem, "expected $expected")
    }

    private fun unknownFields(known: List<String>): List<Finding> {
        val remedy = "known fields are ${known.joinToString()}"
        return entries.keys.filter { it.content !in known }
            .map { Finding(placeOf(source, it), "unknown field ${it.content.take(MAXIMUM_SHOWN_CHARACTERS)}", remedy) }
    }

    private companion object {
        /** Length to which a finding shortens the name of an unknown field. */
        const val MAXIMUM_SHOWN_CHARACTERS = 64
    }
}

private fun placeOf(source: String, node: YamlNode): Place = Place(source, node.location.line, node.location.column)
