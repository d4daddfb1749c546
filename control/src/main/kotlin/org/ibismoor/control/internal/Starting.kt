/**
 * Starts a control process: opens the data folder, listens, checks that the folder is safe to use, and runs.
 */
package org.ibismoor.control.internal

import org.ibismoor.control.api.ControlProcessSettings
import org.ibismoor.control.api.Misconfigured
import org.ibismoor.control.api.StartResult
import org.ibismoor.control.api.Started
import org.ibismoor.control.api.UnsafeFolder
import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.runtime.api.createLog
import org.ibismoor.runtime.api.environmentNameOf
import org.ibismoor.transport.api.createInternalClient
import java.io.IOException

internal fun startControlProcess(settings: ControlProcessSettings): StartResult =
    when (val opened = openDataFolder(settings.dataFolder, settings.replica)) {
        is OpenResult.Unsafe -> UnsafeFolder(opened.problem)
        is OpenResult.Opened -> startOpened(settings, opened)
    }

private fun startOpened(settings: ControlProcessSettings, opened: OpenResult.Opened): StartResult {
    val unaddressed = if (needsCheck(opened.identity)) opened.identity.founders - settings.peers.keys else emptySet()
    if (unaddressed.isEmpty()) return listen(settings, opened)
    opened.folder.close()
    return misconfigured(
        "--peers",
        "no address of ${unaddressed.joinToString(" and ")} is given",
        "name every other member of the new group as <replica>=<url>",
    )
}

private fun listen(settings: ControlProcessSettings, opened: OpenResult.Opened): StartResult {
    val client = createInternalClient()
    val process = RunningControl(settings, opened.folder, opened.identity, client)
    val check = FolderCheck(client, opened.identity, settings.peers)
    return try {
        process.listen()
        val records = if (needsCheck(opened.identity)) awaitFounders(check, opened.identity) else emptyList()
        run(settings, process, records)
    } catch (e: IOException) {
        process.close()
        val problem = "cannot listen on ${settings.host}:${settings.port}: ${e.message}"
        misconfigured("--listen", problem, "stop the process that uses the port, or name a free port of this VM")
    }
}

private fun awaitFounders(check: FolderCheck, identity: FolderIdentity): List<FolderRecord>? {
    createLog("control").info("waiting until every other founder has answered", "founders" to identity.founders)
    return check.awaitPeers()
}

/** [records] are null if the folder must not be used. */
private fun run(settings: ControlProcessSettings, process: RunningControl, records: List<FolderRecord>?): StartResult {
    records?.takeIf { it.isNotEmpty() }?.let(process::recordPeerFolders)
    return if (records == null) refuseFolder(process, settings) else Started(process.also { it.run() })
}

private fun needsCheck(identity: FolderIdentity): Boolean =
    identity.creation.role == FolderRole.FOUNDER && !identity.isChecked

private fun misconfigured(flag: String, problem: String, remedy: String): StartResult =
    Misconfigured(listOf(Finding(Place("$flag or ${environmentNameOf(flag)}"), problem, remedy)))

private fun refuseFolder(process: RunningControl, settings: ControlProcessSettings): StartResult {
    process.close()
    return UnsafeFolder("another folder of ${settings.replica} has been in the group; $NEXT_EPOCH_REMEDY")
}
