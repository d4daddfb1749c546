/**
 * Runs one load test: a control thread decides when requests start, and traffic threads send them.
 */
package org.ibismoor.bench.load.internal

import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.core.api.Timestamp
import org.ibismoor.runtime.api.ControlLoop
import org.ibismoor.runtime.api.createClock
import org.ibismoor.runtime.api.startControlThread
import org.ibismoor.transport.api.ClientSettings
import org.ibismoor.transport.api.createOkHttpClient
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

private const val READ_MILLIS = 60_000L
private const val MAXIMUM_CALLS = 2_000

internal class LoadRun(private val settings: LoadSettings) {
    private val clock = createClock()
    private val times = LoadPath.entries.associateWith { PathTimes() }
    private val client =
        createOkHttpClient(
            ClientSettings(readTimeoutMillis = READ_MILLIS, callTimeoutMillis = 0, maximumCalls = MAXIMUM_CALLS),
        )
    private val caller = StreamCaller(settings, client, times)
    private val traffic = Executors.newCachedThreadPool { Thread(it, "traffic").apply { isDaemon = true } }
    private val readings = ConcurrentHashMap<LoadPhase, Map<String, ProcessReading>>()
    private val termination = CompletableFuture<Unit>()
    private val loop =
        ControlLoop(LoadMachine(), initialTables(), clock) { _, effects -> effects.forEach(::performEffect) }

    fun awaitResult(): LoadResult {
        startControlThread("control", loop) { termination.completeExceptionally(it) }
        termination.get()
        loop.close()
        traffic.shutdownNow()
        return LoadResult(settings, loop.tables, times, readings)
    }

    private fun initialTables(): LoadTables {
        val now = clock.now()
        val arrivals = settings.plans.filterValues { it.rate > 0 }.mapValues { ArrivalRow(now, it.value.rate) }
        val from = now + settings.warmUpMillis
        return LoadTables(arrivals.toPersistentHashMap(), from, measurementEnd(from))
    }

    private fun measurementEnd(from: Timestamp): Timestamp = from + settings.measuredMillis

    private fun performEffect(effect: LoadEffect) {
        when (effect) {
            is LoadEffect.StartRequest -> {
                val dueNanos = System.nanoTime()
                traffic.execute { loop.post(caller.send(effect, dueNanos)) }
            }
            is LoadEffect.ReadProcesses -> readings[effect.phase] = readProcesses()
            LoadEffect.EndRun -> termination.complete(Unit)
        }
    }

    private fun readProcesses(): Map<String, ProcessReading> =
        settings.processes.mapNotNull { (name, id) -> ProcessReading.of(id)?.let { name to it } }.toMap()
}
