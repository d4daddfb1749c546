/**
 * Starts a control process: opens and checks the data folder, listens, and runs when the folder is known to be safe.
 */
package org.ibismoor.control.internal

import org.ibismoor.control.api.ControlProcessSettings
import org.ibismoor.control.api.StartResult
import org.ibismoor.control.api.Started
import org.ibismoor.control.api.UnsafeFolder
import org.ibismoor.transport.api.createInternalClient

internal fun startControlProcess(settings: ControlProcessSettings): StartResult =
    when (val opened = openDataFolder(settings.dataFolder, settings.replica)) {
        is OpenResult.Unsafe -> UnsafeFolder(opened.problem)
        is OpenResult.Opened -> start(settings, opened)
    }

private fun start(settings: ControlProcessSettings, opened: OpenResult.Opened): StartResult {
    val client = createInternalClient()
    val process = RunningControl(settings, opened.folder, opened.identity, client)
    process.listen()
    val needsCheck = opened.identity.made.role == FolderRole.FOUNDER && !opened.identity.isChecked
    val check = FolderCheck(client, opened.identity, settings.peers)
    val records = if (needsCheck) check.run() else emptyList()
    records?.takeIf { it.isNotEmpty() }?.let(opened.folder.identity::append)
    return if (records == null) refuse(process, settings) else Started(process.also { it.run() })
}

private fun refuse(process: RunningControl, settings: ControlProcessSettings): StartResult {
    process.close()
    val remedy = "declare the next epoch and run init for it"
    return UnsafeFolder("another folder of ${settings.replica} has been in the group; $remedy")
}
