/**
 * Reads the fields of one record of a declaration file. Each read names the field, so that a record knows which
 * fields it has and can report the others as unknown.
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

    /** A field that has to be there. */
    fun <T : Any> required(name: String, type: ValueType<T>): Field<T> =
        present(name)?.let { scalar(name, it, type) } ?: missing(name, type)

    /** A field that stands for [default] when it is absent. */
    fun <T : Any> optional(name: String, type: ValueType<T>, default: T): Field<T> =
        present(name)?.let { scalar(name, it, type) } ?: Field(name, Located(default, place), emptyList())

    /** A list of records, empty when it is absent. */
    fun <T> records(name: String, read: (RecordNode) -> Readout<T>): Field<List<T>> {
        val found = present(name)
        val items = found as? YamlList
        val readout = items?.items.orEmpty().map { read(RecordNode(source, it)) }.together()
        val wrong = if (found == null || items != null) emptyList() else listOf(wrongType(name, found, "a list"))
        return Field(
            name,
            Located(readout.value, found?.let { placeOf(source, it) } ?: place),
            readout.findings + wrong
        )
    }

    /** One record, or the readout of an empty one when it is absent. */
    fun <T> record(name: String, read: (RecordNode) -> Readout<T>): Field<T?> {
        val found = present(name)
        val readout = found?.let { read(RecordNode(source, it)) }
        return Field(
            name,
            Located(readout?.value, found?.let { placeOf(source, it) } ?: place),
            readout?.findings.orEmpty()
        )
    }

    /** The value that [build] makes from [fields], with all their findings and one for each other field. */
    fun <T> build(fields: List<Field<*>>, build: () -> T): Readout<T> {
        val shape = if (node is YamlMap) {
            emptyList()
        } else {
            listOf(
                Finding(place, "expected a record of fields", "write the fields as `name: value` lines")
            )
        }
        return Readout(build(), shape + unknown(fields.map { it.name }) + fields.flatMap { it.findings })
    }

    private fun present(name: String): YamlNode? = entries.entries.firstOrNull { it.key.content == name }?.value

    private fun <T : Any> scalar(name: String, found: YamlNode, type: ValueType<T>): Field<T> {
        val value = (found as? YamlScalar)?.let { type.parse(it.content) }
        val findings = if (value == null) listOf(wrongType(name, found, type.description)) else emptyList()
        return Field(name, Located(value ?: type.substitute, placeOf(source, found)), findings)
    }

    private fun <T : Any> missing(name: String, type: ValueType<T>): Field<T> {
        val finding = Finding(place, "field $name is missing", "add $name with ${type.description}")
        return Field(name, Located(type.substitute, place), listOf(finding).filter { node is YamlMap })
    }

    private fun wrongType(name: String, found: YamlNode, expected: String): Finding {
        val problem = if (found is YamlNull) "field $name has no value" else "field $name has a wrong value"
        return Finding(placeOf(source, found), problem, "expected $expected")
    }

    private fun unknown(known: List<String>): List<Finding> {
        val remedy = "known fields are ${known.joinToString()}"
        return entries.keys.filter { it.content !in known }
            .map { Finding(placeOf(source, it), "unknown field ${it.content.take(NAME_SHOWN)}", remedy) }
    }

    private companion object {
        /** Characters of an unknown field name that a finding repeats. */
        const val NAME_SHOWN = 64
    }
}

private fun placeOf(source: String, node: YamlNode): Place = Place(source, node.location.line, node.location.column)
