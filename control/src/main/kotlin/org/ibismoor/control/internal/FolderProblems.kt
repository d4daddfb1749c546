/**
 * Detects data folders that have lost a log, and states the remedy.
 */
package org.ibismoor.control.internal

import java.nio.file.Files
import java.nio.file.Path

/** Remedy when a replica has lost records that it has acknowledged as durable. */
internal const val NEXT_EPOCH_REMEDY = "declare the next epoch of this replica and run init --join true for it"

/** Checked before the logs are opened: opening creates an absent log, so a lost log would appear to be empty. */
internal fun missingLogs(folder: Path): List<String> =
    listOf(IDENTITY_LOG, CONSENSUS_LOG, LEDGER_LOG).filterNot { Files.exists(folder.resolve("$it.log")) }

internal fun missingProblem(folder: Path, missing: List<String>): String =
    if (IDENTITY_LOG in missing) {
        "$folder was not created by init; run init with an empty folder"
    } else {
        "$folder has lost ${missing.joinToString(" and ") { "$it.log" }}; $NEXT_EPOCH_REMEDY"
    }

internal fun isEmptyFounder(identity: FolderIdentity, opened: DataFolder): Boolean =
    identity.creation.role == FolderRole.FOUNDER && opened.consensus.records.isEmpty()
