package org.ibismoor.core

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.Timestamp

class DueQueueTest : StringSpec({
    "take returns exactly the due entries, ordered by time" {
        checkAll(Arb.list(Arb.long(0L..1_000L), 0..200)) { times ->
            val queue = times.fold(DueQueue.empty<Long>()) { q, t -> q.plus(Timestamp(t), t) }
            val due = queue.take(Timestamp(500))
            due.entries.map { it.id } shouldBe times.filter { it <= 500 }.sorted()
            due.rest.next shouldBe times.filter { it > 500 }.minOrNull()?.let(::Timestamp)
        }
    }

    "take leaves the original queue unchanged" {
        val queue = DueQueue.empty<String>().plus(Timestamp(5), "a")
        queue.take(Timestamp(9)).rest.next shouldBe null
        queue.next shouldBe Timestamp(5)
    }
})
