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

/** The open logs of a data folder, with the records that they held when they were opened. */
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

internal sealed interface OpenResult {
    data class Opened(val folder: DataFolder, val identity: FolderIdentity) : OpenResult

    data class Unsafe(val problem: String) : OpenResult
}

/** The result is null, or the reason why the folder cannot be created. */
internal fun createDataFolder(folder: Path, replica: ReplicaId, role: FolderRole, members: List<ReplicaId>): String? =
    try {
        Files.createDirectories(folder)
        val isEmpty = Files.list(folder).use { it.findAny().isEmpty }
        if (isEmpty) writeFolder(folder, FolderCreated(replica, UUID.randomUUID().toString(), role, members))
        "the folder $folder is not empty; name an empty one, or start with the existing one".takeUnless { isEmpty }
    } catch (e: IOException) {
        "the folder $folder cannot be created: ${e.message}"
    } catch (e: StorageException) {
        "the folder $folder cannot be written: ${e.message}"
    }

/** A folder without an identity was not created by `init`, or `init` was interrupted. */
internal fun openDataFolder(folder: Path, replica: ReplicaId): OpenResult =
    try {
        if (Files.isDirectory(folder)) openLogs(folder, replica) else unsafe("$folder does not exist; run init")
    } catch (e: StorageException) {
        unsafe(e.message.orEmpty())
    }

/** Writes the identity last, so that a folder left by an interrupted `init` is refused. */
private fun writeFolder(folder: Path, creation: FolderCreated) {
    openFolder(folder).use { opened ->
        if (creation.role == FolderRole.FOUNDER) opened.consensus.append(initialRecords(creation.members))
        opened.identity.append(listOf(creation))
    }
}

private fun openLogs(folder: Path, replica: ReplicaId): OpenResult {
    val missing = missingLogs(folder)
    if (missing.isNotEmpty()) return unsafe(missingProblem(folder, missing))
    val opened = openFolder(folder)
    val identity = identityOf(opened.identity.records)
    val problem = when {
        identity == null -> "$folder was not created by init; run init with an empty folder"
        identity.creation.replica != replica -> "$folder belongs to ${identity.creation.replica}, not to $replica"
        isEmptyFounder(identity, opened) -> "the consensus log in $folder is empty; $NEXT_EPOCH_REMEDY"
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
