/**
 * Settings of a control process. [peers] has the base URLs of the other replicas at the start; declared control members
 * are added and take precedence. [platformUrl] is the platform's list of leaving VMs. Equal seeds give equal random
 * decisions.
 */
package org.ibismoor.control.api

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.ControlSettings
import java.nio.file.Path

data class ControlProcessSettings(
    val replica: ReplicaId,
    val dataFolder: Path,
    val host: String,
    val port: Int,
    val peers: Map<ReplicaId, String>,
    val seed: Long,
    val platformUrl: String? = null,
    val control: ControlSettings = ControlSettings(),
)
