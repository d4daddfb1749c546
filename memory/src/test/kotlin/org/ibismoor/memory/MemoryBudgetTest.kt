package org.ibismoor.memory

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.memory.api.BytesMoved
import org.ibismoor.memory.api.BytesReleased
import org.ibismoor.memory.api.BytesRequested
import org.ibismoor.memory.api.EvictHolder
import org.ibismoor.memory.api.GrantBytes
import org.ibismoor.memory.api.HolderEnded
import org.ibismoor.memory.api.HolderId
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.memory.api.MemoryEffect
import org.ibismoor.memory.api.MemoryMessage
import org.ibismoor.memory.api.MemorySettings
import org.ibismoor.memory.api.MemoryTables
import org.ibismoor.memory.api.RefuseBytes
import org.ibismoor.memory.api.RequestServed
import org.ibismoor.memory.api.createMemoryMachine
import org.ibismoor.memory.api.memorySettingsFor
import kotlin.random.Random

private const val MEGABYTE = 1024L * 1024
private val SETTINGS = MemorySettings(totalBytes = 1_000, reservedBytes = 200, answerBytes = 300, smallBodyBytes = 50)
private val machine = createMemoryMachine()

private class Budget(settings: MemorySettings = SETTINGS) {
    var tables = MemoryTables(settings)

    fun at(millis: Long, vararg messages: MemoryMessage): List<MemoryEffect> {
        val step: Step<MemoryTables, MemoryEffect> =
            machine.run(tables, Tick(Timestamp(millis), WallTime(0), messages.toList()))
        tables = step.tables
        return step.effects
    }
}

private fun body(holder: Long, bytes: Long) = BytesRequested(HolderId(holder), MemoryClass.BODIES, bytes)

private fun head(holder: Long, bytes: Long) = BytesRequested(HolderId(holder), MemoryClass.HEADS, bytes)

private fun answer(holder: Long, bytes: Long) = BytesRequested(HolderId(holder), MemoryClass.ANSWERS, bytes)

class MemoryBudgetTest : StringSpec({
    "large bodies leave the reserve to heads and small bodies" {
        // Guards against bodies that take all memory, so that not even a small request can be read.
        val budget = Budget()
        budget.at(0, body(1, 800)) shouldContainExactly listOf(GrantBytes(HolderId(1), MemoryClass.BODIES, 800))
        budget.at(0, body(2, 51)) shouldContainExactly listOf(RefuseBytes(HolderId(2), MemoryClass.BODIES, 51))
        budget.at(0, body(3, 50), head(4, 150)).filterIsInstance<RefuseBytes>().shouldBeEmpty()
        budget.at(0, head(5, 1)) shouldContainExactly listOf(RefuseBytes(HolderId(5), MemoryClass.HEADS, 1))
    }

    "a body that grows beyond the small size does not use the reserve piece by piece" {
        // Guards against a large body in small chunks, each of which looks like a small request.
        val budget = Budget()
        budget.at(0, body(1, 800), body(2, 50))
        budget.at(0, body(2, 1)) shouldContainExactly listOf(RefuseBytes(HolderId(2), MemoryClass.BODIES, 1))
    }

    "the connection that is longest without progress loses its memory first, and only as much as is needed" {
        // Guards against callers that stop just short of the end of their bodies and keep others out.
        val budget = Budget()
        budget.at(0, body(1, 300))
        budget.at(100, body(2, 300))
        budget.at(600, body(3, 300)) shouldContainExactly
            listOf(EvictHolder(HolderId(1)), GrantBytes(HolderId(3), MemoryClass.BODIES, 300))
        budget.tables.totalBytes shouldBe 600
    }

    "a connection with progress keeps its memory, and one that sends byte after byte does not" {
        // Guards against a caller that looks alive with a few bytes a second.
        val budget = Budget()
        budget.at(0, body(1, 400), body(2, 400))
        budget.at(400, BytesMoved(HolderId(1), 4_096), BytesMoved(HolderId(2), 1))
        budget.at(600, body(3, 400)).filterIsInstance<EvictHolder>() shouldContainExactly
            listOf(EvictHolder(HolderId(2)))
    }

    "a request that the process works on keeps its memory" {
        // Guards against the loss of requests that wait for an upstream.
        val budget = Budget()
        budget.at(0, body(1, 800), RequestServed(HolderId(1)))
        budget.at(60_000, body(2, 100)) shouldContainExactly
            listOf(RefuseBytes(HolderId(2), MemoryClass.BODIES, 100))
    }

    "a reader that takes nothing loses its unsent answer" {
        // Guards against slow readers that hold all memory for answers.
        val budget = Budget()
        budget.at(0, body(1, 10), RequestServed(HolderId(1)), answer(1, 300))
        budget.at(100, answer(2, 10)) shouldContain RefuseBytes(HolderId(2), MemoryClass.ANSWERS, 10)
        budget.at(600, answer(2, 10)) shouldContainExactly
            listOf(EvictHolder(HolderId(1)), GrantBytes(HolderId(2), MemoryClass.ANSWERS, 10))
    }

    "messages of connections without memory change nothing" {
        // Guards against sums that drift when an evicted connection reports its end.
        val budget = Budget()
        budget.at(0, body(1, 800))
        budget.at(600, body(2, 800)) shouldContain EvictHolder(HolderId(1))
        budget.at(600, BytesReleased(HolderId(1), MemoryClass.BODIES, 800), HolderEnded(HolderId(1)))
        budget.tables.totalBytes shouldBe 800
        budget.at(700, HolderEnded(HolderId(2)))
        budget.tables.totalBytes shouldBe 0
        budget.tables.holders.keys.shouldBeEmpty()
    }

    "the sums follow the rows and never exceed the total" {
        // Guards against a budget that leaks or overdraws under any order of messages.
        val random = Random(7)
        val budget = Budget()
        repeat(5_000) { step ->
            val holder = random.nextLong(20)
            val memoryClass = MemoryClass.entries.random(random)
            val message = when (random.nextInt(6)) {
                0 -> BytesReleased(HolderId(holder), memoryClass, random.nextLong(200))
                1 -> HolderEnded(HolderId(holder))
                2 -> BytesMoved(HolderId(holder), random.nextLong(8_000))
                3 -> RequestServed(HolderId(holder))
                else -> BytesRequested(HolderId(holder), memoryClass, random.nextLong(1, 200))
            }
            budget.at(step * 20L, message)
            budget.tables.totalBytes shouldBe budget.tables.holders.values.sumOf { it.totalBytes }
            budget.tables.totalBytes shouldBeLessThanOrEqual SETTINGS.totalBytes
            budget.tables.bytes(MemoryClass.ANSWERS) shouldBeLessThanOrEqual SETTINGS.answerBytes
        }
    }

    "the smallest process has room for one chunked body of legal size beside the reserve" {
        // Guards against defaults that refuse a single request inside the published limits.
        val settings = memorySettingsFor(heapBytes = 56 * MEGABYTE, directBytes = 24 * MEGABYTE)
        Budget(settings).at(0, body(1, 8 * MEGABYTE)).single() shouldBe
            GrantBytes(HolderId(1), MemoryClass.BODIES, 8 * MEGABYTE)
    }
})
