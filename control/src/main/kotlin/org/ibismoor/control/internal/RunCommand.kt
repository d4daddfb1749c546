/**
 * Subcommand `run`: runs a control process until SIGTERM.
 */
package org.ibismoor.control.internal

import org.ibismoor.control.api.ControlProcess
import org.ibismoor.control.api.ControlProcessSettings
import org.ibismoor.control.api.Misconfigured
import org.ibismoor.control.api.Started
import org.ibismoor.control.api.UnsafeFolder
import org.ibismoor.control.api.startControl
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.ProcessEnd
import org.ibismoor.runtime.api.SettingType
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.optionalSetting
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.settingFindings
import org.ibismoor.runtime.api.unknownFindings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Unmatched
import java.security.SecureRandom
import java.util.concurrent.Callable
import java.util.concurrent.ExecutionException

@Command(name = "run", description = ["Runs a control process until SIGTERM."], mixinStandardHelpOptions = true)
internal class RunCommand : Callable<Int> {
    @Option(names = ["--data-folder"], description = ["Folder that init created."])
    private var dataFolder: String? = null

    @Option(names = ["--replica"], description = ["Failure domain and epoch, such as norte-1.1."])
    private var replica: String? = null

    @Option(names = ["--listen"], description = ["IP address and port to listen on."])
    private var listen: String? = null

    @Option(names = ["--peers"], description = ["Other replicas, <replica>=<url>, separated by commas."])
    private var peers: String? = null

    @Option(names = ["--platform-url"], description = ["URL of the platform's list of leaving VMs."])
    private var platformUrl: String? = null

    @Option(names = ["--seed"], description = ["Seed of random decisions; drawn at random by default."])
    private var seed: String? = null

    @Unmatched
    private var unknown: List<String> = ArrayList()

    override fun call(): Int {
        val folder = requiredSetting("--data-folder", dataFolder, SettingTypes.folder)
        val self = requiredSetting("--replica", replica, SettingTypes.replica)
        val address = requiredSetting("--listen", listen, SettingTypes.listenAddress)
        val others = optionalSetting("--peers", peers, SettingTypes.listOf(PeerType))
        val platform = optionalSetting("--platform-url", platformUrl, SettingTypes.text)
        val randomSeed = optionalSetting("--seed", seed, SettingTypes.wholeNumber(0L..Long.MAX_VALUE))
        val findings = settingFindings(folder, self, address, others, platform, randomSeed) + unknownFindings(unknown)
        return if (findings.isEmpty()) {
            run(
                ControlProcessSettings(
                    replica = self.value,
                    dataFolder = folder.value,
                    host = address.value.host,
                    port = address.value.port,
                    peers = others.valueOrNull.orEmpty().associate { it.replica to it.url } - self.value,
                    seed = randomSeed.valueOrNull ?: SecureRandom().nextLong(),
                    platformUrl = platform.valueOrNull,
                ),
            )
        } else {
            reportFindings(findings)
        }
    }

    private fun run(settings: ControlProcessSettings): Int =
        when (val result = startControl(settings)) {
            is Misconfigured -> reportFindings(result.findings)
            is UnsafeFolder -> reportUnsafeFolder(result.problem)
            is Started -> awaitTermination(result.process)
        }

    private fun reportUnsafeFolder(problem: String): Int {
        System.err.println("unsafe data folder: $problem")
        return ExitCode.UNSAFE_DATA_FOLDER
    }

    private fun awaitTermination(process: ControlProcess): Int {
        ProcessEnd.onTermination {
            process.drain()
            ExitCode.SUCCESS
        }
        return try {
            process.termination.get()
            ExitCode.SUCCESS
        } catch (_: ExecutionException) {
            ProcessEnd.failNow(ExitCode.INTERNAL_ERROR)
        }
    }
}

/** An entry of `--peers`. */
internal data class Peer(val replica: ReplicaId, val url: String)

private object PeerType : SettingType<Peer> {
    override val description = "<replica>=<url>, such as norte-2.1=http://127.0.0.1:7002"

    override fun parse(text: String): Peer? {
        val replica = SettingTypes.replica.parse(text.substringBefore('=', ""))
        val url = SettingTypes.baseUrl.parse(text.substringAfter('=', ""))
        return if (replica != null && url != null) Peer(replica, url) else null
    }
}
