/**
 * The data folder of a control process: logs `identity`, `consensus` and `ledger`.
 */
package org.ibismoor.control.internal

import kotlinx.serialization.KSerializer
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.initialRecords
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.storage.api.OpenedLog
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.TornTail
import org.ibismoor.storage.api.createFileStore
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.encodeJson
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

internal const val IDENTITY_LOG = "identity"
internal const val CONSENSUS_LOG = "consensus"
internal const val LEDGER_LOG = "ledger"

/** The opened logs of a data folder with what they hold. */
internal class DataFolder(
    val identity: TypedLog<FolderRecord>,
    val consensus: TypedLog<ConsensusRecord>,
    val ledger: TypedLog<DomainRecord>,
) : AutoCloseable {
    val tornTails: List<TornTail> get() = listOf(identity, consensus, ledger).mapNotNull { it.tornTail }

    override fun close() {
        listOf(identity, consensus, ledger).forEach { it.log.close() }
    }
}

/** Result of opening a data folder. */
internal sealed interface OpenResult {
    data class Opened(val folder: DataFolder, val identity: FolderIdentity) : OpenResult

    data class Unsafe(val problem: String) : OpenResult
}

/** Makes the folder; null, or why it cannot be made. */
internal fun createDataFolder(folder: Path, replica: ReplicaId, role: FolderRole, members: List<ReplicaId>): String? =
    try {
        Files.createDirectories(folder)
        val isEmpty = Files.list(folder).use { it.findAny().isEmpty }
        if (isEmpty) writeFolder(folder, FolderMade(replica, UUID.randomUUID().toString(), role, members))
        "the folder $folder is not empty; name an empty one, or start with the one that is there".takeUnless { isEmpty }
    } catch (e: IOException) {
        "the folder $folder cannot be made: ${e.message}"
    } catch (e: StorageException) {
        "the folder $folder cannot be written: ${e.message}"
    }

/** Opens the folder of [replica]. A folder without an identity was never made, or its making was interrupted. */
internal fun openDataFolder(folder: Path, replica: ReplicaId): OpenResult =
    try {
        if (Files.isDirectory(folder)) openLogs(folder, replica) else unsafe("$folder does not exist; run init")
    } catch (e: StorageException) {
        unsafe(e.message.orEmpty())
    }

/** The identity is written last, so that an interrupted init leaves a folder that is refused. */
private fun writeFolder(folder: Path, made: FolderMade) {
    openFolder(folder).use { opened ->
        if (made.role == FolderRole.FOUNDER) opened.consensus.append(initialRecords(made.members))
        opened.identity.append(listOf(made))
    }
}

private fun openLogs(folder: Path, replica: ReplicaId): OpenResult {
    val missing = logsMissing(folder)
    if (missing.isNotEmpty()) return unsafe(missingProblem(folder, missing))
    val opened = openFolder(folder)
    val identity = identityOf(opened.identity.records)
    val problem = when {
        identity == null -> "$folder was not made by init; run init with an empty folder"
        identity.made.replica != replica -> "$folder belongs to ${identity.made.replica}, not to $replica"
        isEmptyFounder(identity, opened) -> "the consensus log in $folder is empty; $NEXT_EPOCH"
        else -> null
    }
    if (problem != null) opened.close()
    return if (problem == null) OpenResult.Opened(opened, checkNotNull(identity)) else unsafe(problem)
}

private fun unsafe(problem: String): OpenResult = OpenResult.Unsafe(problem)

private fun openFolder(folder: Path): DataFolder {
    val store = createFileStore(folder)
    return DataFolder(
        typedLog(store.open(IDENTITY_LOG), FolderRecord.serializer()),
        typedLog(store.open(CONSENSUS_LOG), ConsensusRecord.serializer()),
        typedLog(store.open(LEDGER_LOG), DomainRecord.serializer()),
    )
}

private fun <R> typedLog(opened: OpenedLog, serializer: KSerializer<R>): TypedLog<R> =
    TypedLog(opened.log, serializer, opened.records.map { decode(serializer, it) }, opened.tornTail)

private fun <R> decode(serializer: KSerializer<R>, text: String): R =
    when (val decoded = decodeJson(serializer, text)) {
        is Decoded.Value -> decoded.value
        is Decoded.Malformed -> throw StorageException("a record cannot be read by this version: ${decoded.problem}")
    }

internal fun <R> TypedLog<R>.encode(records: List<R>): List<String> = records.map { encodeJson(serializer, it) }
