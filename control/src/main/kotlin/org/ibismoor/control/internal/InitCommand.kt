/**
 * Subcommand `init`: creates the data folder of a replica.
 */
package org.ibismoor.control.internal

import org.ibismoor.control.api.initialiseLearner
import org.ibismoor.control.api.initialiseMember
import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.optionalSetting
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.settingFindings
import org.ibismoor.runtime.api.unknownFindings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Unmatched
import java.nio.file.Path
import java.util.concurrent.Callable

@Command(
    name = "init",
    description = ["Creates the data folder of a replica."],
    mixinStandardHelpOptions = true,
)
internal class InitCommand : Callable<Int> {
    @Option(names = ["--data-folder"], description = ["Folder to create. It must be empty or not exist."])
    private var dataFolder: String? = null

    @Option(names = ["--replica"], description = ["Failure domain and epoch, such as norte-1.1."])
    private var replica: String? = null

    @Option(names = ["--members"], description = ["All replicas of a new group, separated by commas."])
    private var members: String? = null

    @Option(names = ["--join"], description = ["true for a replica that joins an existing group."])
    private var join: String? = null

    @Unmatched
    private var unknown: List<String> = ArrayList()

    override fun call(): Int {
        val folder = requiredSetting("--data-folder", dataFolder, SettingTypes.folder)
        val self = requiredSetting("--replica", replica, SettingTypes.replica)
        val group = optionalSetting("--members", members, SettingTypes.listOf(SettingTypes.replica))
        val isJoining = optionalSetting("--join", join, SettingTypes.boolean)
        val findings = settingFindings(folder, self, group, isJoining) + unknownFindings(unknown)
        val joins = isJoining.valueOrNull == true
        return when {
            findings.isNotEmpty() -> reportFindings(findings)
            joins == (group.valueOrNull != null) -> reportFindings(listOf(groupFinding()))
            !joins && self.value !in group.value -> reportFindings(listOf(selfFinding()))
            else -> createFolder(folder.value, self.value, group.valueOrNull)
        }
    }

    private fun groupFinding() =
        Finding(Place("--members or --join"), "exactly one of them is needed", "give --members for a new group")

    private fun selfFinding() =
        Finding(Place("--members"), "the replica is not in the list", "add the value of --replica")

    private fun createFolder(folder: Path, self: ReplicaId, group: List<ReplicaId>?): Int {
        val problem = if (group == null) initialiseLearner(folder, self) else initialiseMember(folder, self, group)
        problem?.let { System.err.println("unsafe data folder: $it") }
        return if (problem == null) ExitCode.SUCCESS else ExitCode.UNSAFE_DATA_FOLDER
    }
}
