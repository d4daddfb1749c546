/**
 * Finds data folders that have lost a log, and says what to do.
 */
package org.ibismoor.control.internal

import java.nio.file.Files
import java.nio.file.Path

/** What to do when a replica has lost what it promised to keep. */
internal const val NEXT_EPOCH = "declare the next epoch of this replica and run init --join true for it"

/** Opening makes a log that is absent, so a lost log would be taken for an empty one. */
internal fun logsMissing(folder: Path): List<String> =
    listOf(IDENTITY_LOG, CONSENSUS_LOG, LEDGER_LOG).filterNot { Files.exists(folder.resolve("$it.log")) }

internal fun missingProblem(folder: Path, missing: List<String>): String =
    if (IDENTITY_LOG in missing) {
        "$folder was not made by init; run init with an empty folder"
    } else {
        "$folder has lost ${missing.joinToString(" and ") { "$it.log" }}; $NEXT_EPOCH"
    }

internal fun isEmptyFounder(identity: FolderIdentity, opened: DataFolder): Boolean =
    identity.made.role == FolderRole.FOUNDER && opened.consensus.records.isEmpty()
