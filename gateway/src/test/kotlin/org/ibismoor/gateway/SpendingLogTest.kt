package org.ibismoor.gateway

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.coordination.api.EndedSession
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.SessionId
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.SpendingRecordFailed
import org.ibismoor.forwarding.api.SpendingRecorded
import org.ibismoor.gateway.internal.router.SpendingLog
import org.ibismoor.storage.api.MemoryStore
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.StorageFaultPlan
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

private val FIRST = SessionId("first")
private val SECOND = SessionId("second")
private val COUNCIL = OrganisationId("council")
private val SCHOOLS = OrganisationId("schools")

class SpendingLogTest : StringSpec({
    "the last limits of earlier sessions are known after a restart" {
        val store = MemoryStore()
        val log = SpendingLog.open(store, FIRST)
        recordLimits(log, mapOf(COUNCIL to 10L, SCHOOLS to 5L))
        recordLimits(log, mapOf(COUNCIL to 30L))
        store.crash()
        SpendingLog.open(store, SECOND)
        store.crash()
        SpendingLog.open(store, SessionId("third")).endedSessions shouldBe listOf(
            EndedSession(FIRST, mapOf(COUNCIL to 30, SCHOOLS to 5)),
            EndedSession(SECOND, emptyMap()),
        )
    }

    "a limit is posted as recorded only after its sync" {
        // Guards against spending that a loss of power removes from the record.
        val store = MemoryStore()
        val log = SpendingLog.open(store, FIRST)
        recordLimits(log, mapOf(COUNCIL to 10L)) shouldBe SpendingRecorded(mapOf(COUNCIL to 10L))
        store.crash()
        SpendingLog.open(store, SECOND).endedSessions shouldBe listOf(EndedSession(FIRST, mapOf(COUNCIL to 10)))
    }

    "a disk that refuses a write is reported as a failure" {
        val store = MemoryStore()
        val log = SpendingLog.open(store, FIRST)
        store.inject(StorageFaultPlan(capacityBytes = 0))
        recordLimits(log, mapOf(COUNCIL to 10L)).shouldBeInstanceOf<SpendingRecordFailed>()
    }

    "a disk that refuses the first write leaves the log closed" {
        shouldThrow<StorageException> { SpendingLog.open(MemoryStore(StorageFaultPlan(capacityBytes = 0)), FIRST) }
    }

    "the log is rewritten when it has grown large and keeps all limits" {
        // Guards against a disk that fills up with the records of a long session.
        val store = MemoryStore()
        val log = SpendingLog.open(store, FIRST)
        recordLimits(log, mapOf(SCHOOLS to 7L))
        val many = (1..300).associate { OrganisationId("organisation-with-a-long-name-$it") to it.toLong() }
        repeat(80) { recordLimits(log, many + (COUNCIL to it.toLong())) }
        store.sizeBytes shouldBeLessThanOrEqual 600 * 1024L
        store.crash()
        val limits = SpendingLog.open(store, SECOND).endedSessions.single().spendingLimits
        limits[COUNCIL] shouldBe 79
        limits[SCHOOLS] shouldBe 7
    }
})

private fun recordLimits(log: SpendingLog, limits: Map<OrganisationId, Long>): ForwardingMessage {
    val results = ArrayBlockingQueue<ForwardingMessage>(1)
    log.record(limits, results::add)
    return checkNotNull(results.poll(10, TimeUnit.SECONDS)) { "the log has not answered within 10 s" }
}
