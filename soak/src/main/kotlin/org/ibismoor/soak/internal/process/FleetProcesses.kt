/**
 * Starts and signals the processes of the fleet. Only processes that it started are signalled, by their identifiers.
 * Calls return at once; a thread of its own does the work, in order.
 */
package org.ibismoor.soak.internal.process

import org.ibismoor.platform.api.PlatformDocuments
import org.ibismoor.platform.api.ProcessDescription
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.runtime.api.createLog
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.internal.FLEET_PORTS
import org.ibismoor.soak.internal.FleetLayout
import org.ibismoor.soak.internal.isControl
import org.ibismoor.soak.internal.world.ProcessSignal
import org.ibismoor.soak.internal.world.StartProcess
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val END_TIMEOUT_SECONDS = 5L

internal class FleetProcesses(
    private val layout: FleetLayout,
    private val folder: Path,
    private val commands: ProcessCommands,
    private val documents: PlatformDocuments,
    private val onExit: (ProcessName, Int) -> Unit,
) {
    private val worker: ExecutorService = Executors.newSingleThreadExecutor { Thread(it, "processes") }
    private val running = ConcurrentHashMap<ProcessName, Process>()
    private val log = createLog("soak")

    @Volatile
    private var isClosed = false

    fun start(effect: StartProcess) = worker.execute { startNow(effect) }

    fun signal(name: ProcessName, signal: ProcessSignal) = worker.execute {
        running[name]?.takeIf { it.isAlive }?.let { send(it, signal) }
    }

    private fun startNow(effect: StartProcess) {
        if (isClosed) return
        val name = effect.process.text
        val home = folder.resolve(name)
        if (effect.isDiskLost) home.toFile().deleteRecursively()
        Files.createDirectories(home)
        val settings = home.resolve("settings.json")
        Files.writeString(settings, documents.settings(describe(name, home, effect.isFirstStart)))
        val command = commands.command(layout.roleOf(name), settings, layout.privateHost(vmOf(name)))
        val output = ProcessBuilder.Redirect.appendTo(File(folder.toFile(), "$name.log"))
        val process = ProcessBuilder(command).directory(commands.root.toFile())
            .redirectErrorStream(true).redirectOutput(output).start()
        running[effect.process] = process
        if (isClosed) process.destroyForcibly()
        log.info("process started", "name" to name, "pid" to process.pid())
        process.onExit().thenAccept { onExit(effect.process, it.exitValue()) }
    }

    private fun describe(name: String, home: Path, isFirstStart: Boolean): ProcessDescription {
        val vm = vmOf(name)
        val list = layout.listEndpoint
        return ProcessDescription(
            name = name,
            host = layout.publicHost(vm),
            domain = layout.domainOf(vm),
            ports = FLEET_PORTS,
            controlHosts = layout.controlHosts,
            isFirstStart = isFirstStart,
            dataFolder = home.resolve("data").takeIf { layout.isControl(name) },
            upstreamList = ListenAddress(list.publicHost, list.port),
        )
    }

    private fun vmOf(name: String): Int = name.substringAfterLast('-').toInt()

    /** The Java library sends only SIGTERM and SIGKILL. */
    private fun send(process: Process, signal: ProcessSignal) {
        ProcessBuilder("kill", "-${signal.name}", process.pid().toString()).start().waitFor(1, TimeUnit.SECONDS)
    }

    /** Kills what still runs. No process is started afterwards. */
    fun close() {
        isClosed = true
        worker.shutdown()
        worker.awaitTermination(END_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        running.values.forEach { it.destroyForcibly() }
        running.values.forEach { it.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
    }
}
