/**
 * The pace of upstreams that have started or recovered, with up to a hundred routers that do not know of each other.
 */
package org.ibismoor.pacing

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.pacing.api.PaceRow
import org.ibismoor.pacing.api.PaceSettings
import org.ibismoor.pacing.api.SharedSlots
import org.ibismoor.pacing.api.after

private const val RUN_MILLIS = 10_000L
private const val ROUND_MILLIS = 200.0
private val ROUTERS = listOf(1, 10, 100)
private val SLOTS = listOf(6, 64)
private val WORK_MILLIS = listOf(50L, 200L, 800L)

private data class Load(val routers: Int, val slots: Int, val workMillis: Long, val factor: Double) {
    val requestsPerSecond: Double get() = factor * slots * 1_000 / workMillis

    fun simulate(isPaced: Boolean = true): RampResult =
        RampSimulation(routers, slots, { workMillis }, requestsPerSecond, isPaced).run(RUN_MILLIS)
}

private fun loads(factor: Double): List<Load> =
    ROUTERS.flatMap { routers -> SLOTS.flatMap { slots -> WORK_MILLIS.map { Load(routers, slots, it, factor) } } }

class RampTest : StringSpec({
    "under three times its load an upstream is in full use after two rounds and the spread of the first requests" {
        // Guards against an upstream that has recovered and is left idle while callers are refused.
        loads(factor = 3.0).forEach { load ->
            val result = load.simulate()
            val spread = (load.routers.toDouble() / load.slots - 1).coerceAtLeast(0.0) * ROUND_MILLIS
            checkNotNull(result.fullUseMillis).toDouble() shouldBeLessThanOrEqualTo 2.0 * load.workMillis + spread
        }
    }

    "under three times its load an upstream refuses much less than without pace" {
        // Guards against dozens of ramps that add up to a flood.
        loads(factor = 3.0).filter { it.slots == 64 }.forEach { load ->
            val result = load.simulate()
            result.refusals * 9 shouldBeLessThan load.simulate(isPaced = false).refusals
            result.largestExcess shouldBeLessThanOrEqual 3 * load.slots
        }
    }

    "under its usual load an upstream serves nearly as much as without pace" {
        // Guards against a ramp that stays low after the upstream has recovered.
        loads(factor = 0.9).forEach { load ->
            val result = load.simulate()
            val unpaced = load.simulate(isPaced = false)
            result.served * 10 shouldBeGreaterThanOrEqual unpaced.served * 8
            result.largestExcess shouldBeLessThanOrEqual 3
        }
    }

    "an upstream that becomes four times slower after two seconds gets fewer requests" {
        // Guards against a pace that was found in a fast first second and is kept in a slow third one.
        val work = { now: Long -> if (now < 2_000) 200L else 800L }
        val paced = RampSimulation(10, 64, work, requestsPerSecond = 300.0).run(RUN_MILLIS)
        val unpaced = RampSimulation(10, 64, work, requestsPerSecond = 300.0, isPaced = false).run(RUN_MILLIS)
        paced.largestExcess shouldBeLessThanOrEqual 64
        unpaced.largestExcess shouldBe 192
        paced.refusals shouldBe 0
    }

    "a refusal halves the limit once, and it then rises by one a round" {
        // Guards against a collapse of the limit by the refusals of one moment.
        val shared = SharedSlots(slots = 64, routers = 1)
        val settings = PaceSettings()
        val refused = PaceRow().after(PaceEvent.Refused(active = 40), shared, settings, Timestamp(0))
        refused.ramp?.limit shouldBe 20.5
        refused.after(PaceEvent.Refused(active = 39), shared, settings, Timestamp(1)) shouldBe refused
        val answer = PaceEvent.Answered(delayMillis = 10, active = 20)
        val raised = (1..21).fold(refused) { row, step ->
            row.after(answer, shared, settings, Timestamp(100L * step))
        }
        checkNotNull(raised.ramp).limit shouldBeLessThanOrEqualTo 21.6
        (checkNotNull(raised.ramp).limit >= 21.0) shouldBe true
    }

    "the limit ends at the slots of the upstream" {
        // Guards against a pace that limits an upstream for good.
        val shared = SharedSlots(slots = 8, routers = 4)
        val settings = PaceSettings()
        val started = PaceRow().after(PaceEvent.Returned(coldMillis = 0), shared, settings, Timestamp(0))
        started.ramp?.limit shouldBe 2.0
        val answered = (1..6).fold(started) { row, step ->
            val active = checkNotNull(row.ramp).limit.toInt() - 1
            row.after(PaceEvent.Answered(10, active), shared, settings, Timestamp(20L * step))
        }
        answered.ramp shouldBe null
        answered.coldUntil shouldBe null
    }

    "routers open an upstream with fewer slots than routers one after the other" {
        // Guards against a hundred first requests at one moment.
        val shared = SharedSlots(slots = 6, routers = 100)
        val opensAt = (0 until 100).map { router ->
            val row = PaceRow(random = SeededRandom(router.toLong()))
            checkNotNull(row.after(PaceEvent.Returned(0), shared, PaceSettings(), Timestamp(0)).ramp).opensAt.millis
        }
        opensAt.max() shouldBeLessThanOrEqual 3_200L
        opensAt.groupBy { it / 1_000 }.values.forEach { it.size shouldBeLessThan 60 }
    }
})
