/**
 * Runs one soak: the control thread decides, one traffic thread carries all connections, and one thread starts and
 * signals processes.
 */
package org.ibismoor.soak.internal

import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import org.ibismoor.platform.api.createPlatformDocuments
import org.ibismoor.platform.api.createPlatformFields
import org.ibismoor.runtime.api.ControlLoop
import org.ibismoor.runtime.api.createClock
import org.ibismoor.runtime.api.startControlThread
import org.ibismoor.soak.api.SoakResult
import org.ibismoor.soak.internal.net.FaultProxy
import org.ibismoor.soak.internal.net.ListServer
import org.ibismoor.soak.internal.net.UpstreamTraffic
import org.ibismoor.soak.internal.process.FleetProcesses
import org.ibismoor.soak.internal.process.ProcessCommands
import org.ibismoor.soak.internal.schedule.FaultSchedule
import org.ibismoor.soak.internal.schedule.encodeSchedule
import org.ibismoor.soak.internal.world.ProcessExited
import org.ibismoor.soak.internal.world.SoakEffect
import org.ibismoor.soak.internal.world.SoakMessage
import org.ibismoor.soak.internal.world.SoakStarted
import org.ibismoor.soak.internal.world.SoakTables
import org.ibismoor.soak.internal.world.createSoakMachine
import org.ibismoor.soak.internal.world.initialSoak
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.concurrent.thread

/** Time beyond the schedule for start, end and stop of the fleet. */
private const val SPARE_SECONDS = 90L

internal class SoakSettings(
    val layout: FleetLayout,
    val schedule: FaultSchedule,
    val callers: Int,
    /** Folder of the run; it is created. */
    val folder: Path,
    val commands: ProcessCommands,
)

/** Throws `IOException` if an address or the folder cannot be used, and [TimeoutException] if the soak does not end. */
internal fun runSoak(settings: SoakSettings): SoakResult {
    Files.createDirectories(settings.folder)
    Files.writeString(settings.folder.resolve("schedule.json"), encodeSchedule(settings.schedule))
    return SoakRun(settings).use { it.run() }
}

private class SoakRun(private val settings: SoakSettings) : AutoCloseable {
    private val layout = settings.layout
    private val documents = createPlatformDocuments()
    private val fields = createPlatformFields()
    private val clock = createClock()
    private val group = NioEventLoopGroup(1, DefaultThreadFactory("traffic", true))
    private val proxy = FaultProxy(group, layout::hostNameOf)
    private val list = ListServer()
    private val observations = ObservationLog(settings.folder.resolve("observations.txt"), RunningChecks(layout))
    private val end = CompletableFuture<SoakResult>()
    private val loop: ControlLoop<SoakTables, SoakMessage, SoakEffect> = ControlLoop(
        createSoakMachine(documents),
        initialSoak(layout, settings.schedule, settings.callers),
        clock,
        { tables, effects -> performer.perform(tables, effects) },
    )
    private val processes = FleetProcesses(layout, settings.folder, settings.commands, documents) { name, code ->
        loop.post(ProcessExited(name, code))
    }
    private val performer = EffectPerformer(
        SoakTraffic(
            CallTraffic(group, layout, documents, fields, loop::post),
            UpstreamTraffic(group, layout, fields, loop::post),
            proxy,
            list,
        ),
        processes,
        observations,
        end::complete,
    )

    /** Ends the fleet also when the soak is interrupted. */
    private val endHook = thread(start = false, name = "end-of-soak") { processes.close() }

    fun run(): SoakResult {
        Runtime.getRuntime().addShutdownHook(endHook)
        layout.endpoints.map(proxy::open).forEach { it.sync() }
        list.listen(group, layout.listEndpoint).sync()
        startControlThread("decisions", loop, end::completeExceptionally)
        loop.post(SoakStarted)
        return end.get(settings.schedule.seconds + SPARE_SECONDS, TimeUnit.SECONDS)
    }

    override fun close() {
        processes.close()
        loop.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2, TimeUnit.SECONDS)
        observations.close()
        Runtime.getRuntime().removeShutdownHook(endHook)
    }
}
