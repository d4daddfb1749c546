/**
 * Guards against draws that are not in proportion to room, against answers without an address, and against a change of
 * the answers where callers are not placed by room.
 */
package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AddressAnswer
import org.ibismoor.forwarding.api.CallerMoves
import org.ibismoor.forwarding.api.CallerPlace
import org.ibismoor.forwarding.api.CallerPlacement
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LoadPolicies
import org.ibismoor.forwarding.api.addressAnswer
import org.ibismoor.forwarding.api.callerAddresses

private const val DRAWS = 20_000
private val SOUTH = FailureDomainId("south")
private val ROOMS = List(20) { RouterEntry("10.0.2.$it:80", FailureDomainId("east"), room = 10 + 10 * (it % 3)) }

class AddressAnswerTest : StringSpec({
    "a caller reaches each router in proportion to its room" {
        val router = RouterHarness().start()
        val tables = router.tables.withRouters(ROOMS)
        val loads = HashMap<String, Double>()
        repeat(DRAWS) { number ->
            val answer = tables.answer(router.now, number.toLong())
            answer.routers.forEach { loads.merge(it.address, 1.0 / answer.routers.size, Double::plus) }
        }
        val totalRoom = ROOMS.sumOf { checkNotNull(it.room) }
        ROOMS.forEach {
            val part = checkNotNull(it.room) / totalRoom.toDouble()
            withClue(it.address) { loads.getValue(it.address) / DRAWS shouldBe (part plusOrMinus part * 0.05) }
        }
    }

    "validities differ between answers" {
        val router = RouterHarness().start()
        val tables = router.tables.withRouters(ROOMS)
        List(100) { tables.answer(router.now, it.toLong()).validSeconds }.toSet() shouldBe setOf(1, 2, 3)
    }

    "without placement by room the answer is the one of the failure domain" {
        val router = RouterHarness().start()
        val expected = AddressAnswer(router.tables.callerAddresses(SOUTH, OWN_ENTRY, router.now), 1)
        router.tables.answer(router.now, 1, CallerPlacement.DOMAIN) shouldBe expected
        router.tables.answer(router.now, 1, CallerPlacement.AUTO) shouldBe expected
    }

    "a router that has lost the leader goes on to offer all routers of its list and itself" {
        val router = RouterHarness().start()
        val tables = router.tables.withRouters(ROOMS)
        val later = router.now + 5_000
        val offered = (0L until 1_000L).flatMap { tables.answer(later, it).routers }.map { it.address }.toSet()
        offered shouldContainExactlyInAnyOrder ROOMS.map { it.address } + OWN_ENTRY.address
    }

    "a router that has lost the leader offers the routers beside control processes" {
        // Guards against callers that stay at routers without tokens while those beside control processes have both.
        val router = RouterHarness().start()
        val controlHosts = ROOMS.take(3).map { it.address.substringBeforeLast(':') }
        val listed = router.tables.withRouters(ROOMS)
        val tables = listed.copy(fleet = listed.fleet.copy(controlHosts = controlHosts))
        val later = router.now + 5_000
        tables.offeredAt(later) shouldContainExactlyInAnyOrder ROOMS.take(3).map { it.address }
        val separated = tables.fleet.separatedRouters.add(ROOMS.first().address)
        val next = tables.copy(fleet = tables.fleet.copy(separatedRouters = separated))
        next.offeredAt(later) shouldContainExactlyInAnyOrder ROOMS.take(3).drop(1).map { it.address }
        val busy = ROOMS.map { it.copy(loadPerMille = 400) }
        tables.withRouters(busy).offeredAt(later) shouldContainExactlyInAnyOrder
            ROOMS.map { it.address } + OWN_ENTRY.address
    }

    "two routers are offered even if one has nearly all room" {
        val router = RouterHarness().start()
        val rooms = ROOMS.take(3).mapIndexed { index, entry -> entry.copy(room = if (index == 1) 1_000 else 1) }
        val tables = router.tables.withRouters(rooms)
        repeat(100) { tables.answer(router.now, it.toLong()).routers.distinct().size shouldBe 2 }
    }

    "no more callers are moved in a second than allowed" {
        val moves = generateSequence<CallerMoves>(CallerMoves()) { it.withMove(5_100, limit = 3) }.toList()
        moves.size - 1 shouldBe 3
        moves.last().withMove(6_000, limit = 3) shouldBe CallerMoves(second = 6, moved = 1)
    }
})

private fun ForwardingTables.withRouters(routers: List<RouterEntry>): ForwardingTables =
    copy(fleet = fleet.copy(routers = routers))

private fun ForwardingTables.offeredAt(now: Timestamp): Set<String> =
    (0L until 1_000L).flatMap { answer(now, it).routers }.map { it.address }.toSet()

private fun ForwardingTables.answer(
    now: Timestamp,
    draw: Long,
    placement: CallerPlacement = CallerPlacement.ROOM,
): AddressAnswer {
    val settings = ForwardingSettings(
        router = RouterId("router-1"),
        entry = OWN_ENTRY,
        controlHosts = emptyList(),
        retryRatio = 0.0,
        retrySlack = 0,
        retryWindowMillis = 1_000,
        policies = LoadPolicies(callerPlacement = placement),
    )
    return addressAnswer(CallerPlace(SOUTH), settings, now, draw)
}
