/**
 * The replica of a control process: its log, its tables and its control thread. When the disk refuses a write, the
 * replica ends without telling anyone what it could not sync, and starts again from what the disk holds, as after a
 * restart of the process. The process stays up meanwhile, and the other replicas elect a leader among themselves.
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

/** Time between tries to use a disk again that has refused a write. */
private const val REOPEN_MILLIS = 500L

internal const val REOPENING_THREAD: String = "storage"

internal class RunningReplica(
    private val settings: CoordinatorSettings,
    private val store: RecordStore,
    private val clock: RuntimeClock,
    private val listener: ReplicaListener,
) {
    /** Hosts of the control processes that the settings name now. */
    @Volatile
    var seeds: List<String> = settings.seedHosts

    @Volatile
    private var current = open(settings)

    val id: ReplicaId get() = current.opened.replica

    val tables: CoordinationTables get() = current.loop.tables

    /** Records that the log held when it was opened last. */
    val records: Int get() = current.opened.records.size

    fun start() {
        startControlThread("decisions", current.loop, ::ended)
    }

    fun post(message: CoordinationMessage) = current.loop.post(message)

    private fun open(settings: CoordinatorSettings): Incarnation {
        val opened = openReplica(settings, store)
        val start = CoordinationStart(opened.replica, seeds, SecureRandom().nextLong(), clock.now())
        val loop = ControlLoop(
            createCoordination(JsonCoordinationCodec, settings.coordination),
            restoreCoordination(start, opened.records, JsonCoordinationCodec),
            clock,
        ) { tables: CoordinationTables, effects: List<CoordinationEffect> -> perform(opened.log, tables, effects) }
        return Incarnation(opened, loop)
    }

    /** The log is written on the control thread, so that nothing is sent before what it depends on is synced. */
    private fun perform(log: ReplicaLog, tables: CoordinationTables, effects: List<CoordinationEffect>) =
        effects.forEach { effect ->
            when (effect) {
                is SyncRecords -> timed { log.append(effect.records) }
                is ReplaceRecords -> timed { log.replace(effect.records) }
                else -> listener.perform(tables, effect)
            }
        }

    private inline fun timed(write: () -> Unit) {
        val began = System.nanoTime()
        write()
        listener.synced(System.nanoTime() - began)
    }

    private fun ended(cause: Throwable) {
        if (cause is StorageException) refused(cause) else listener.failed(cause)
    }

    /** The waiting thread is no daemon: the control thread has ended, and the JVM ends when only daemons are left. */
    private fun refused(cause: StorageException) {
        listener.storageRefused(cause)
        val thread = Thread(::reopen, REOPENING_THREAD)
        thread.setUncaughtExceptionHandler { _, failure -> listener.failed(failure) }
        thread.start()
    }

    private fun reopen() {
        TimeUnit.MILLISECONDS.sleep(REOPEN_MILLIS)
        try {
            current.opened.log.close()
            // A folder that is empty now has lost its content, so it is never taken for a first start again.
            current = open(settings.copy(isFirstStart = false))
            listener.storageReopened(records)
            start()
        } catch (e: StorageException) {
            refused(e)
        }
    }

    /** The replica between two openings of its log. */
    private class Incarnation(
        val opened: OpenedReplica,
        val loop: ControlLoop<CoordinationTables, CoordinationMessage, CoordinationEffect>,
    )
}
