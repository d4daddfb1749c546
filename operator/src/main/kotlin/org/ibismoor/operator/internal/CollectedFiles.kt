/**
 * Collects the declaration files below folders. A file that cannot be read is a finding, so that no set is published
 * without it.
 */
package org.ibismoor.operator.internal

import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.declarations.api.DeclarationLimits
import org.ibismoor.declarations.api.DeclarationSource
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.isRegularFile

/** The files that were read and the findings of those that were not. */
internal data class CollectedFiles(val sources: List<DeclarationSource>, val findings: List<Finding>)

internal fun collectFiles(folders: List<Path>): CollectedFiles =
    folders.map(::collect).fold(CollectedFiles(emptyList(), emptyList())) { all, next ->
        CollectedFiles(all.sources + next.sources, all.findings + next.findings)
    }

private fun collect(folder: Path): CollectedFiles =
    try {
        val files = Files.walk(folder).use { paths ->
            paths.filter { it.isRegularFile() && it.extension == "yaml" }.sorted().toList()
        }
        val read = files.map(::readFile)
        CollectedFiles(
            read.filterIsInstance<ReadFile.Text>().map { it.source },
            emptyFinding(folder, files) + bad(read)
        )
    } catch (e: IOException) {
        CollectedFiles(emptyList(), listOf(unreadable(folder, e)))
    }

private fun bad(read: List<ReadFile>): List<Finding> = read.filterIsInstance<ReadFile.Unreadable>().map { it.finding }

private fun emptyFinding(folder: Path, files: List<Path>): List<Finding> =
    listOf(Finding(Place(folder.toString()), "the folder holds no *.yaml file", "correct the name"))
        .filter { files.isEmpty() }

private fun readFile(file: Path): ReadFile =
    try {
        if (Files.size(file) > DeclarationLimits.MAXIMUM_FILE_CHARACTERS) {
            ReadFile.Unreadable(Finding(Place(file.toString()), "the file is too large", "split it into several files"))
        } else {
            ReadFile.Text(DeclarationSource(file.toString(), Files.readString(file)))
        }
    } catch (_: CharacterCodingException) {
        ReadFile.Unreadable(Finding(Place(file.toString()), "the file is not UTF-8", "save it as UTF-8"))
    } catch (e: IOException) {
        ReadFile.Unreadable(unreadable(file, e))
    }

private fun unreadable(path: Path, cause: IOException): Finding =
    Finding(Place(path.toString()), "it cannot be read: ${cause.message}", "check its name and its permissions")

private sealed interface ReadFile {
    data class Text(val source: DeclarationSource) : ReadFile

    data class Unreadable(val finding: Finding) : ReadFile
}
