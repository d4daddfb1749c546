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
import org.ibismoor.gateway.internal.control.REOPENING_THREAD
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
    "a replica whose disk is full stays up, confirms nothing, and goes on when the disk has room" {
        // Guards against a process that ends at the first refused write and again at each restart.
        val store = MemoryStore()
        val process = ProcessDouble(store)
        process.replica.start()
        eventually(10.seconds) { process.replica.tables.leadingSince.shouldNotBeNull() }
        process.publish(1)
        eventually(5.seconds) { process.confirmed shouldBe listOf(1L) }

        store.inject(StorageFaultPlan(capacityBytes = store.sizeBytes))
        process.publish(2)
        eventually(5.seconds) { process.refusals.shouldNotBeEmpty() }
        // Guards against a JVM that ends with code 0 while it waits, since only daemon threads are left.
        eventually(5.seconds) {
            val waiting = Thread.getAllStackTraces().keys.single { it.name == REOPENING_THREAD }
            waiting.isDaemon shouldBe false
        }
        process.confirmed shouldBe listOf(1L)

        store.inject(StorageFaultPlan())
        eventually(10.seconds) {
            process.replica.tables.leadingSince.shouldNotBeNull()
            process.replica.tables.state.configuration?.version shouldBe 1
        }
        process.publish(3)
        eventually(5.seconds) { process.confirmed shouldBe listOf(1L, 3L) }
        process.failures.shouldBeEmpty()
    }

    "a log that cannot be read when it is opened again ends the process" {
        // Guards against a process that stays without a replica, or ends as if nothing had happened.
        val memory = MemoryStore()
        var openings = 0
        val process = ProcessDouble(RecordStore { if (openings++ == 0) memory.open(it) else error("not a record") })
        process.replica.start()
        eventually(10.seconds) { process.replica.tables.leadingSince.shouldNotBeNull() }
        memory.inject(StorageFaultPlan(capacityBytes = memory.sizeBytes))
        process.publish(1)
        eventually(5.seconds) { process.failures.shouldNotBeEmpty() }
    }
})

private class ProcessDouble(store: RecordStore) : ReplicaListener {
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

    override fun synced(nanos: Long) = Unit

    override fun storageRefused(cause: StorageException) {
        refusals += cause
    }

    override fun storageReopened(records: Int) = Unit

    override fun failed(cause: Throwable) {
        failures += cause
    }
}
