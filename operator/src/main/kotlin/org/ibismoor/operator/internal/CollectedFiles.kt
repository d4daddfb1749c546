/**
 * Collects the declaration files of folders and their subfolders. A file that cannot be read is a finding, so that
 * an incomplete set is never published.
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

/**
 * A larger file is not read. UTF-8 takes at most three bytes for each `Char` of a text, so such a file exceeds the
 * limit on characters, which is checked with the other limits of the text.
 */
private const val MAXIMUM_FILE_BYTES = 3L * DeclarationLimits.MAXIMUM_FILE_CHARACTERS

/** [findings] has one entry for each file or folder that could not be used. */
internal data class CollectedFiles(val sources: List<DeclarationSource>, val findings: List<Finding>)

internal fun collectFiles(folders: List<Path>): CollectedFiles =
    folders.map(::collectFolder).fold(CollectedFiles(emptyList(), emptyList())) { all, next ->
        CollectedFiles(all.sources + next.sources, all.findings + next.findings)
    }

private fun collectFolder(folder: Path): CollectedFiles =
    try {
        val files = Files.walk(folder).use { paths ->
            paths.filter { it.isRegularFile() && it.extension == "yaml" }.sorted().toList()
        }
        val results = files.map(::readFile)
        CollectedFiles(
            results.filterIsInstance<FileResult.Text>().map { it.source },
            emptyFolderFindings(folder, files) + unreadableFileFindings(results)
        )
    } catch (e: IOException) {
        CollectedFiles(emptyList(), listOf(unreadableFinding(folder, e)))
    }

private fun unreadableFileFindings(results: List<FileResult>): List<Finding> =
    results.filterIsInstance<FileResult.Unreadable>().map { it.finding }

private fun emptyFolderFindings(folder: Path, files: List<Path>): List<Finding> =
    listOf(Finding(Place(folder.toString()), "the folder contains no *.yaml file", "correct the folder name"))
        .filter { files.isEmpty() }

private fun readFile(file: Path): FileResult =
    try {
        val bytes = Files.size(file)
        if (bytes > MAXIMUM_FILE_BYTES) {
            val problem = "the file has $bytes bytes, the limit is $MAXIMUM_FILE_BYTES"
            FileResult.Unreadable(Finding(Place(file.toString()), problem, "split it into several files"))
        } else {
            FileResult.Text(DeclarationSource(file.toString(), Files.readString(file)))
        }
    } catch (_: CharacterCodingException) {
        FileResult.Unreadable(Finding(Place(file.toString()), "the file is not valid UTF-8", "save it as UTF-8"))
    } catch (e: IOException) {
        FileResult.Unreadable(unreadableFinding(file, e))
    }

private fun unreadableFinding(path: Path, cause: IOException): Finding =
    Finding(Place(path.toString()), "it cannot be read: ${cause.message}", "check its name and permissions")

private sealed interface FileResult {
    data class Text(val source: DeclarationSource) : FileResult

    data class Unreadable(val finding: Finding) : FileResult
}
