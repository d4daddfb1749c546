/**
 * Checks of the text of declaration files before they are parsed: sizes, control characters, nesting and the end
 * marker. The parser is recursive, so deeply nested input could overflow its stack.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.declarations.api.DeclarationLimits
import org.ibismoor.declarations.api.DeclarationSource

private const val END_MARKER = "..."

/** Characters before the content of a line. Each level of block nesting needs at least one of them. */
private const val BLOCK_PREFIX = " -?:"

/** Findings about the number, size and paths of the files. */
internal fun setFindings(sources: List<DeclarationSource>): List<Finding> {
    val characters = sources.sumOf { it.text.length.toLong() }
    val isTooLarge = characters > DeclarationLimits.MAXIMUM_SET_CHARACTERS
    val hasTooMany = sources.size > DeclarationLimits.MAXIMUM_FILES
    val noFiles = setFinding("there are no declaration files", "name folders with *.yaml files")
    val tooManyFiles = setFinding(
        "there are ${sources.size} files",
        "at most ${DeclarationLimits.MAXIMUM_FILES} are allowed",
    )
    val tooLarge = setFinding(
        "there are $characters characters",
        "at most ${DeclarationLimits.MAXIMUM_SET_CHARACTERS} are allowed",
    )
    return listOfNotNull(
        noFiles.takeIf { sources.isEmpty() },
        tooManyFiles.takeIf { hasTooMany },
        tooLarge.takeIf { isTooLarge },
    ) + repeatedPaths(sources)
}

internal fun textFindings(source: DeclarationSource): List<Finding> {
    val text = source.text
    return when {
        text.length > DeclarationLimits.MAXIMUM_FILE_CHARACTERS ->
            listOf(Finding(Place(source.path), "the file is too large", "split it into several files"))
        else -> lineFindings(source) + listOfNotNull(nestingFinding(source), endFinding(source))
    }
}

/** The first [DeclarationLimits.MAXIMUM_FINDINGS] in the order of their places, and one that counts the rest. */
internal fun limitFindings(findings: List<Finding>): List<Finding> {
    val sorted = findings.distinct().sortedWith(compareBy({ it.place.source }, { it.place.line }, { it.place.column }))
    val rest = sorted.size - DeclarationLimits.MAXIMUM_FINDINGS
    val more = setFinding("there are $rest more findings", "correct the findings above first").takeIf { rest > 0 }
    return sorted.take(DeclarationLimits.MAXIMUM_FINDINGS) + listOfNotNull(more)
}

private fun setFinding(problem: String, remedy: String): Finding = Finding(Place("declarations"), problem, remedy)

private fun repeatedPaths(sources: List<DeclarationSource>): List<Finding> =
    sources.groupingBy { it.path }.eachCount().filterValues { it > 1 }.keys.map {
        Finding(Place(it), "the file is given twice", "name each folder once")
    }

private fun lineFindings(source: DeclarationSource): List<Finding> =
    source.text.lineSequence().withIndex().mapNotNull { (index, line) ->
        val place = Place(source.path, index + 1, line.indexOfFirst(::isForbidden) + 1)
        when {
            line.length > DeclarationLimits.MAXIMUM_LINE_CHARACTERS ->
                Finding(place.copy(column = 1), "the line is too long", "wrap it")
            line.indexOfFirst { it !in BLOCK_PREFIX } > DeclarationLimits.MAXIMUM_INDENTATION ->
                Finding(place.copy(column = 1), "the line is nested too deeply", "indent it less")
            line.any(::isForbidden) -> Finding(place, "the line has a control character", "remove it")
            else -> null
        }
    }.toList()

private fun isForbidden(character: Char): Boolean =
    (character.isISOControl() && character != '\r') || character.isSurrogate() || !character.isDefined() ||
        character == '\uFEFF'

private fun nestingFinding(source: DeclarationSource): Finding? {
    val depths = source.text.runningFold(0) { depth, character -> depth + depthChange(character) }
    val tooDeep = depths.any { it > DeclarationLimits.MAXIMUM_NESTING }
    return Finding(Place(source.path), "brackets are nested too deeply", "write lists and records as lines")
        .takeIf { tooDeep }
}

private fun depthChange(character: Char): Int =
    when (character) {
        '[', '{' -> 1
        ']', '}' -> -1
        else -> 0
    }

private fun endFinding(source: DeclarationSource): Finding? {
    val lines = source.text.trimEnd('\r', '\n').lines()
    val place = Place(source.path, lines.size, lines.last().length + 1)
    return Finding(place, "the file is truncated", "end it with a line of three dots")
        .takeIf { lines.last() != END_MARKER }
}
