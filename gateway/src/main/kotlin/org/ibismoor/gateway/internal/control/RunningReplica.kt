/**
 * The replica of a control process: its log, its tables and its control thread. When the disk refuses a write, the
 * replica stops without sending anything that depends on that write and restarts from the records on disk, as after a
 * restart of the process. The process stays up meanwhile, and the other replicas can elect a leader.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.ReplaceRecords
import org.ibismoor.coordination.api.SyncRecords
import org.ibismoor.coordination.api.createCoordination
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.gateway.api.CoordinatorSettings
import org.ibismoor.runtime.api.ControlLoop
import org.ibismoor.runtime.api.RuntimeClock
import org.ibismoor.runtime.api.startControlThread
import org.ibismoor.storage.api.RecordStore
import org.ibismoor.storage.api.StorageException
import java.security.SecureRandom
import java.util.concurrent.TimeUnit

/** Delay before the log is reopened after the disk refused a write. */
private const val REOPEN_DELAY_MILLIS = 500L

internal const val REOPEN_THREAD_NAME: String = "storage"

internal class RunningReplica(
    private val settings: CoordinatorSettings,
    private val store: RecordStore,
    private val clock: RuntimeClock,
    private val listener: ReplicaListener,
) {
    /** Hosts of the control processes in the current settings. */
    @Volatile
    var seedHosts: List<String> = settings.seedHosts

    @Volatile
    private var current = openIncarnation(settings)

    val id: ReplicaId get() = current.opened.replica

    val tables: CoordinationTables get() = current.loop.tables

    /** Number of records in the log when it was last opened. */
    val records: Int get() = current.opened.records.size

    fun start() {
        startControlThread("decisions", current.loop, ::handleLoopFailure)
    }

    fun post(message: CoordinationMessage) = current.loop.post(message)

    private fun openIncarnation(settings: CoordinatorSettings): Incarnation {
        val opened = openReplica(settings, store)
        val start = CoordinationStart(
            replica = opened.replica,
            seedHosts = seedHosts,
            randomSeed = SecureRandom().nextLong(),
            time = clock.now(),
            isObserver = settings.isObserver,
        )
        val loop = ControlLoop(
            createCoordination(JsonCoordinationCodec, settings.coordination),
            restoreCoordination(start, opened.records, JsonCoordinationCodec, settings.coordination),
            clock,
        ) { tables: CoordinationTables, effects: List<CoordinationEffect> -> perform(opened.log, tables, effects) }
        return Incarnation(opened, loop)
    }

    /** Writes the log on the control thread, so that no message is sent before the records it depends on are synced. */
    private fun perform(log: ReplicaLog, tables: CoordinationTables, effects: List<CoordinationEffect>) =
        effects.forEach { effect ->
            when (effect) {
                is SyncRecords -> measureSync { log.append(effect.records) }
                is ReplaceRecords -> measureSync { log.replace(effect.records) }
                else -> listener.perform(tables, effect)
            }
        }

    private inline fun measureSync(write: () -> Unit) {
        val startedAt = System.nanoTime()
        write()
        listener.onLogSynced(System.nanoTime() - startedAt)
    }

    private fun handleLoopFailure(cause: Throwable) {
        if (cause is StorageException) scheduleReopen(cause) else listener.onFailure(cause)
    }

    /** Not a daemon thread: the control thread has ended, and the JVM exits when only daemon threads are left. */
    private fun scheduleReopen(cause: StorageException) {
        listener.onStorageRefused(cause)
        val thread = Thread(::reopen, REOPEN_THREAD_NAME)
        thread.setUncaughtExceptionHandler { _, failure -> listener.onFailure(failure) }
        thread.start()
    }

    private fun reopen() {
        TimeUnit.MILLISECONDS.sleep(REOPEN_DELAY_MILLIS)
        try {
            current.opened.log.close()
            // A folder that is empty now has lost its content, so it must not be treated as a first start.
            current = openIncarnation(settings.copy(isFirstStart = false))
            listener.onStorageReopened(records)
            start()
        } catch (e: StorageException) {
            scheduleReopen(e)
        }
    }

    /** The replica from one opening of its log to the next. */
    private class Incarnation(
        val opened: OpenedReplica,
        val loop: ControlLoop<CoordinationTables, CoordinationMessage, CoordinationEffect>,
    )
}
