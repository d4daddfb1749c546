/**
 * Creates data folders and starts control processes.
 */
package org.ibismoor.control.api

import org.ibismoor.control.internal.FolderRole
import org.ibismoor.control.internal.createDataFolder
import org.ibismoor.control.internal.startControlProcess
import org.ibismoor.core.api.ReplicaId
import java.nio.file.Path

/**
 * Creates the data folder of [replica] in a new group of [members]. Every member must be given the same list. The
 * result is null, or the reason why the folder cannot be created.
 */
fun initialiseMember(folder: Path, replica: ReplicaId, members: List<ReplicaId>): String? =
    createDataFolder(folder, replica, FolderRole.FOUNDER, members)

/**
 * Creates the data folder of [replica], which joins an existing group. The result is null, or the reason why the
 * folder cannot be created.
 */
fun initialiseLearner(folder: Path, replica: ReplicaId): String? =
    createDataFolder(folder, replica, FolderRole.LEARNER, emptyList())

/**
 * Starts a control process. The first start in a new group waits until every member has answered; otherwise a member
 * that lost its disk could vote twice in one term.
 */
fun startControl(settings: ControlProcessSettings): StartResult = startControlProcess(settings)
