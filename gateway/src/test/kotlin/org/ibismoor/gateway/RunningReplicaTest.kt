package org.ibismoor.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.PublicationReceived
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.gateway.api.CoordinatorSettings
import org.ibismoor.gateway.internal.control.REOPEN_THREAD_NAME
import org.ibismoor.gateway.internal.control.ReplicaListener
import org.ibismoor.gateway.internal.control.RunningReplica
import org.ibismoor.runtime.api.createClock
import org.ibismoor.storage.api.MemoryStore
import org.ibismoor.storage.api.RecordStore
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.StorageFaultPlan
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private const val HOST = "10.0.0.1"

class RunningReplicaTest : StringSpec({
    "a replica with a full disk keeps running, confirms nothing, and continues when the disk has space" {
        // Guards against a process that exits at the first refused write, and again after each restart.
        val store = MemoryStore()
        val harness = ReplicaHarness(store)
        harness.replica.start()
        eventually(10.seconds) { harness.replica.tables.leadingSince.shouldNotBeNull() }
        harness.publish(1)
        eventually(5.seconds) { harness.confirmed shouldBe listOf(1L) }

        store.inject(StorageFaultPlan(capacityBytes = store.sizeBytes))
        harness.publish(2)
        eventually(5.seconds) { harness.refusals.shouldNotBeEmpty() }
        // Guards against a JVM that exits with code 0 during the delay, because only daemon threads are left.
        eventually(5.seconds) {
            val waiting = Thread.getAllStackTraces().keys.single { it.name == REOPEN_THREAD_NAME }
            waiting.isDaemon shouldBe false
        }
        harness.confirmed shouldBe listOf(1L)

        store.inject(StorageFaultPlan())
        eventually(10.seconds) {
            harness.replica.tables.leadingSince.shouldNotBeNull()
            harness.replica.tables.state.configuration?.version shouldBe 1
        }
        harness.publish(3)
        eventually(5.seconds) { harness.confirmed shouldBe listOf(1L, 3L) }
        harness.failures.shouldBeEmpty()
    }

    "a log that cannot be read when it is opened again ends the process" {
        // Guards against a process that keeps running without a replica, or that exits without an error.
        val memory = MemoryStore()
        var openings = 0
        val harness = ReplicaHarness(RecordStore { if (openings++ == 0) memory.open(it) else error("not a record") })
        harness.replica.start()
        eventually(10.seconds) { harness.replica.tables.leadingSince.shouldNotBeNull() }
        memory.inject(StorageFaultPlan(capacityBytes = memory.sizeBytes))
        harness.publish(1)
        eventually(5.seconds) { harness.failures.shouldNotBeEmpty() }
    }
})

private class ReplicaHarness(store: RecordStore) : ReplicaListener {
    val confirmed = CopyOnWriteArrayList<Long>()
    val refusals = CopyOnWriteArrayList<StorageException>()
    val failures = CopyOnWriteArrayList<Throwable>()
    private val settings = CoordinatorSettings(
        host = HOST,
        port = 0,
        seedHosts = listOf(HOST),
        dataFolder = Path.of("unused"),
        isFirstStart = true,
        listHost = HOST,
        listPort = 0,
    )
    val replica = RunningReplica(settings, store, createClock(), this)

    fun publish(version: Long) =
        replica.post(PublicationReceived(version, PublishedConfiguration(version, "document", emptyMap())))

    override fun perform(tables: CoordinationTables, effect: CoordinationEffect) {
        if (effect is AnswerPublication && effect.answer is Confirmed) confirmed += effect.reply
    }

    override fun onLogSynced(nanos: Long) = Unit

    override fun onStorageRefused(cause: StorageException) {
        refusals += cause
    }

    override fun onStorageReopened(records: Int) = Unit

    override fun onFailure(cause: Throwable) {
        failures += cause
    }
}
