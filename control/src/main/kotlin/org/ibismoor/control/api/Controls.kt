/**
 * Makes data folders and starts control processes.
 */
package org.ibismoor.control.api

import org.ibismoor.control.internal.FolderRole
import org.ibismoor.control.internal.createDataFolder
import org.ibismoor.control.internal.startControlProcess
import org.ibismoor.core.api.ReplicaId
import java.nio.file.Path

/**
 * Makes the data folder of [replica] in a new group of [members]. Every member starts from the same list. Null, or
 * why the folder cannot be made.
 */
fun initialiseMember(folder: Path, replica: ReplicaId, members: List<ReplicaId>): String? =
    createDataFolder(folder, replica, FolderRole.FOUNDER, members)

/** Makes the data folder of [replica], which joins a group that runs. Null, or why the folder cannot be made. */
fun initialiseLearner(folder: Path, replica: ReplicaId): String? =
    createDataFolder(folder, replica, FolderRole.LEARNER, emptyList())

/**
 * Starts a control process. The first start of a new group waits until every member has answered, since a member
 * that has lost its disk could otherwise vote twice.
 */
fun startControl(settings: ControlProcessSettings): StartResult = startControlProcess(settings)
