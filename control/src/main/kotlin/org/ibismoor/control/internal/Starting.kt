/**
 * Starts a control process: opens and checks the data folder, listens, and runs when the folder is known to be safe.
 */
package org.ibismoor.control.internal

import org.ibismoor.control.api.ControlProcessSettings
import org.ibismoor.control.api.Misconfigured
import org.ibismoor.control.api.StartResult
import org.ibismoor.control.api.Started
import org.ibismoor.control.api.UnsafeFolder
import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.runtime.api.environmentNameOf
import org.ibismoor.transport.api.createInternalClient
import java.io.IOException

internal fun startControlProcess(settings: ControlProcessSettings): StartResult =
    when (val opened = openDataFolder(settings.dataFolder, settings.replica)) {
        is OpenResult.Unsafe -> UnsafeFolder(opened.problem)
        is OpenResult.Opened -> startOpened(settings, opened)
    }

private fun startOpened(settings: ControlProcessSettings, opened: OpenResult.Opened): StartResult {
    val unknown = if (needsCheck(opened.identity)) opened.identity.founders - settings.peers.keys else emptySet()
    if (unknown.isEmpty()) return listen(settings, opened)
    opened.folder.close()
    return misconfigured(
        "--peers",
        "no address of ${unknown.joinToString(" and ")} is given",
        "name every other member of the new group as <replica>=<url>",
    )
}

private fun listen(settings: ControlProcessSettings, opened: OpenResult.Opened): StartResult {
    val process = RunningControl(settings, opened.folder, opened.identity, createInternalClient())
    return try {
        process.listen()
        check(settings, opened.identity, process)
    } catch (e: IOException) {
        process.close()
        val problem = "cannot listen on ${settings.host}:${settings.port}: ${e.message}"
        misconfigured("--listen", problem, "stop the process that has the port, or name a free port of this VM")
    }
}

private fun check(settings: ControlProcessSettings, identity: FolderIdentity, process: RunningControl): StartResult {
    val records = if (needsCheck(identity)) process.checkFolder(settings.peers) else emptyList()
    records?.takeIf { it.isNotEmpty() }?.let(process::remember)
    return if (records == null) refuse(process, settings) else Started(process.also { it.run() })
}

private fun needsCheck(identity: FolderIdentity): Boolean =
    identity.made.role == FolderRole.FOUNDER && !identity.isChecked

private fun misconfigured(flag: String, problem: String, remedy: String): StartResult =
    Misconfigured(listOf(Finding(Place("$flag or ${environmentNameOf(flag)}"), problem, remedy)))

private fun refuse(process: RunningControl, settings: ControlProcessSettings): StartResult {
    process.close()
    return UnsafeFolder("another folder of ${settings.replica} has been in the group; $NEXT_EPOCH")
}
