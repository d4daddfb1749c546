package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.coordination.api.AnswerEvacuation
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.AskLeader
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.EvacuationRequested
import org.ibismoor.coordination.api.JoinAnswered
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.Unconfirmed
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.coordination.api.createCoordination
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime

private val OBSERVER = ReplicaId(FailureDomainId("10.0.0.9"), 2)

class EvacuationTest : StringSpec({
    "an order is confirmed once it is in the log, and every replica answers reports with it" {
        // Guards against a router that is cut off from the leader and does not learn of an evacuation.
        val fleet = startedFleet(seed = 1)
        fleet.orderAtLeader("north", isEvacuated = true).shouldBeInstanceOf<Confirmed>()
        fleet.run(500)
        val followers = HOSTS - checkNotNull(fleet.leader)
        val answers = followers.map { fleet.answerAt(it, SimulatedRouter("r")).shouldNotBeNull() }
        answers.map { it.isLeading } shouldBe listOf(false, false)
        answers.map { it.evacuations?.domains } shouldBe listOf(listOf("north"), listOf("north")).map(::domains)
        answers.map { it.evacuations?.index }.distinct().single() shouldNotBe 0L
    }

    "the leader's first answer to a session contains the list" {
        // Guards against a router that becomes ready after its start without knowing of an evacuation.
        val fleet = startedFleet(seed = 2)
        fleet.orderAtLeader("north", isEvacuated = true)
        val router = SimulatedRouter("r", isIdle = true)
        fleet.addRouter(router)
        fleet.run(1_500)
        router.leaderAnswer?.evacuations?.domains shouldBe domains(listOf("north"))
    }

    "a replica that does not lead refers an order to the leader and changes nothing" {
        val fleet = startedFleet(seed = 3)
        val leader = checkNotNull(fleet.leader)
        val answer = fleet.orderAnswers[fleet.order((HOSTS - leader).first(), "north", isEvacuated = true)]
        answer.shouldBeInstanceOf<AskLeader>().let { hostOf(it.leader) } shouldBe leader
        fleet.run(500)
        HOSTS.forEach { fleet.evacuated(it) shouldBe emptyList() }
    }

    "a repeated order is confirmed and changes nothing" {
        // Guards against an operator that resends an order after a lost answer and gets another result.
        val fleet = startedFleet(seed = 4)
        repeat(3) { fleet.orderAtLeader("north", isEvacuated = true).shouldBeInstanceOf<Confirmed>() }
        val index = fleet.stateAt(checkNotNull(fleet.leader)).evacuationIndex
        fleet.orderAtLeader("north", isEvacuated = true).shouldBeInstanceOf<Confirmed>()
        fleet.stateAt(checkNotNull(fleet.leader)).evacuationIndex shouldBe index
        fleet.orderAtLeader("north", isEvacuated = false).shouldBeInstanceOf<Confirmed>()
        fleet.orderAtLeader("north", isEvacuated = false).shouldBeInstanceOf<Confirmed>()
        fleet.run(500)
        HOSTS.forEach { fleet.evacuated(it) shouldBe emptyList() }
        HOSTS.map { fleet.stateAt(it).evacuationIndex }.distinct().single() shouldNotBe index
    }

    "of racing orders the last one in the log takes effect at every replica" {
        // Guards against replicas that disagree on which of two operators was last.
        val fleet = startedFleet(seed = 5)
        val leader = checkNotNull(fleet.leader)
        val replies = (1..20).map { fleet.order(leader, "north", isEvacuated = it % 2 == 0) }
        val others = (1..20).map { fleet.order(leader, "south", isEvacuated = it % 2 == 1) }
        fleet.run(1_000)
        (replies + others).forEach { fleet.orderAnswers[it].shouldBeInstanceOf<Confirmed>() }
        HOSTS.forEach { fleet.evacuated(it) shouldBe listOf("north") }
    }

    "an order that a deposed leader has appended is not confirmed, and the resent one is" {
        // Guards against a confirmation by a leader whose entry a later leader replaces.
        (1..20).forEach { seed ->
            val fleet = startedFleet(seed)
            val former = checkNotNull(fleet.leader)
            (HOSTS - former).forEach { fleet.partition(former, it) }
            fleet.dropMessagesInFlight()
            val lost = fleet.order(former, "north", isEvacuated = true)
            fleet.run(5_000)
            fleet.orderAnswers[lost] shouldBe Unconfirmed
            fleet.orderAtLeader("south", isEvacuated = true).shouldBeInstanceOf<Confirmed>()
            fleet.heal()
            fleet.run(3_000)
            HOSTS.forEach { fleet.evacuated(it) shouldBe listOf("south") }
            fleet.orderAtLeader("north", isEvacuated = true).shouldBeInstanceOf<Confirmed>()
            fleet.run(500)
            HOSTS.forEach { fleet.evacuated(it) shouldBe listOf("north", "south") }
        }
    }

    "a repeated order to a deposed leader that already follows it is not confirmed" {
        // Guards against a deposed leader that confirms a start that a later leader has ended.
        val fleet = startedFleet(seed = 6)
        fleet.orderAtLeader("north", isEvacuated = true)
        val former = checkNotNull(fleet.leader)
        (HOSTS - former).forEach { fleet.partition(former, it) }
        fleet.dropMessagesInFlight()
        val repeated = fleet.order(former, "north", isEvacuated = true)
        fleet.run(5_000)
        fleet.orderAnswers[repeated] shouldBe Unconfirmed
    }

    "the death of the leader between append and commit loses no confirmed order" {
        // Guards against a confirmed order that is missing after the leader died right after a later one.
        (1..40).forEach { seed ->
            val fleet = startedFleet(seed)
            fleet.orderAtLeader("north", isEvacuated = true).shouldBeInstanceOf<Confirmed>()
            val leader = checkNotNull(fleet.leader)
            val open = fleet.order(leader, "south", isEvacuated = true)
            fleet.run(seed % 12L)
            val wasConfirmed = fleet.orderAnswers[open] is Confirmed
            fleet.kill(leader)
            fleet.run(3_000)
            fleet.start(leader)
            fleet.run(2_000)
            val expected = listOf("north") + listOf("south").filter { wasConfirmed }
            fleet.evacuated(checkNotNull(fleet.leader)) shouldBeIn listOf(expected, listOf("north", "south"))
            HOSTS.map { fleet.evacuated(it) }.distinct().size shouldBe 1
        }
    }

    "orders survive a restart of all processes, before and after a snapshot" {
        // Guards against an evacuation that ends with a loss of power, or whose log index falls.
        val settings = CoordinationSettings(snapshotEntries = 40)
        val fleet = startedFleet(seed = 7, settings = settings)
        val router = SimulatedRouter("r")
        fleet.addRouter(router)
        fleet.publish(checkNotNull(fleet.leader), 1, budget = 100_000)
        fleet.run(500)
        fleet.orderAtLeader("south", isEvacuated = true)
        fleet.orderAtLeader("north", isEvacuated = true)
        fleet.orderAtLeader("south", isEvacuated = false)
        val index = fleet.stateAt(checkNotNull(fleet.leader)).evacuationIndex
        repeat(6) {
            fleet.run(4_000)
            HOSTS.forEach(fleet::kill)
            HOSTS.forEach(fleet::start)
            fleet.run(3_000)
            HOSTS.forEach { host ->
                fleet.evacuated(host) shouldBe listOf("north")
                fleet.stateAt(host).evacuationIndex shouldBe index
            }
        }
    }

    "a confirmed order survives the loss of a disk, and a learner answers with it" {
        // Guards against a replica that rejoins with an empty disk and tells routers of an older list as the newest.
        val settings = CoordinationSettings(toleratedLosses = 1)
        val fleet = startedFleet(seed = 8, settings = settings)
        fleet.orderAtLeader("north", isEvacuated = true).shouldBeInstanceOf<Confirmed>()
        val lost = checkNotNull(fleet.leader)
        fleet.wipe(lost)
        fleet.run(3_000)
        fleet.start(lost)
        val first = fleet.answerAt(lost, SimulatedRouter("r")).shouldNotBeNull().evacuations
        first?.index shouldBe 0
        fleet.run(12_000)
        HOSTS.forEach { fleet.evacuated(it) shouldBe listOf("north") }
        val answer = fleet.answerAt(lost, SimulatedRouter("r")).shouldNotBeNull()
        answer.evacuations?.domains shouldBe domains(listOf("north"))
    }

    "a leader whose group is too small to keep an order does not confirm it" {
        // Guards against a confirmed order that the loss of a tolerated number of disks erases.
        val settings = CoordinationSettings(toleratedLosses = 1, groupCompletionMillis = 10_000)
        val fleet = SimulatedFleet(seed = 9, settings = settings, firstMembers = 1)
        fleet.start(HOSTS.first())
        fleet.run(2_000)
        val reply = fleet.order(HOSTS.first(), "north", isEvacuated = true)
        fleet.run(500)
        fleet.orderAnswers[reply] shouldBe Unconfirmed
    }

    "an observer refers orders to the leader and answers reports without a list" {
        // Guards against a process without a log whose empty list is taken for the fleet's.
        val observer = Observer()
        observer.order().shouldBe(Unconfirmed)
        observer.run(JoinAnswered(bootstrapReplica(HOSTS.first())))
        observer.order().shouldBeInstanceOf<AskLeader>()
        observer.run(ReportReceived(2, SimulatedRouter("r").report())).filterIsInstance<AnswerReport>()
            .single().answer.evacuations.shouldBeNull()
    }

    "orders under losses and partitions end in one state at all replicas" {
        // Guards against confirmed orders that are missing, or replicas that disagree, under faults of all kinds.
        (1..15).forEach { seed ->
            val fleet = startedFleet(seed)
            fleet.lossRate = 0.1
            repeat(30) { step ->
                val host = HOSTS[fleet.random.nextInt(HOSTS.size)]
                if (step % 7 == 3) fleet.partition(host, HOSTS[fleet.random.nextInt(HOSTS.size)])
                if (step % 7 == 6) fleet.heal()
                if (step % 5 == 4 && fleet.isRunning(host)) fleet.kill(host)
                fleet.run(150)
                HOSTS.filterNot(fleet::isRunning).forEach(fleet::start)
                fleet.order(fleet.leader ?: host, "north", isEvacuated = step % 2 == 0)
                fleet.run(250)
            }
            fleet.lossRate = 0.0
            fleet.heal()
            fleet.run(4_000)
            fleet.orderAtLeader("north", isEvacuated = true).shouldBeInstanceOf<Confirmed>()
            fleet.run(1_000)
            fleet.orderAnswers.values.filterIsInstance<Confirmed>().shouldNotBeEmpty()
            HOSTS.map { fleet.stateAt(it).evacuations }.distinct().size shouldBe 1
            HOSTS.forEach { fleet.evacuated(it) shouldBe listOf("north") }
        }
    }
})

private fun startedFleet(
    seed: Int,
    settings: CoordinationSettings = CoordinationSettings(),
): SimulatedFleet =
    SimulatedFleet(seed, settings).apply {
        HOSTS.forEach(::start)
        run(3_000)
        checkNotNull(leader) { "no leader after 3 s with seed $seed" }
    }

/** Orders at the leader that is not cut off, which has the latest term, and waits for the answer. */
private fun SimulatedFleet.orderAtLeader(domain: String, isEvacuated: Boolean) =
    order(checkNotNull(leader), domain, isEvacuated).let { reply ->
        run(500)
        orderAnswers[reply]
    }

private fun SimulatedFleet.evacuated(host: String): List<String> =
    stateAt(host).evacuations.keys.map { it.text }.sorted()

private fun domains(names: List<String>): List<FailureDomainId> = names.map(::FailureDomainId)

/** A control process without a disk. */
private class Observer {
    private val codec = TextCodec()
    private val machine = createCoordination(codec)
    private var now = 10L
    private var tables = restoreCoordination(
        CoordinationStart(OBSERVER, HOSTS, randomSeed = 1, time = Timestamp(0), isObserver = true),
        emptyList(),
        codec,
    )

    fun run(message: CoordinationMessage) =
        machine.run(tables, Tick(Timestamp(now), WallTime(now), listOf(message)))
            .also { tables = it.tables }.also { now += 10 }.effects

    fun order() =
        run(EvacuationRequested(1, FailureDomainId("north"), isEvacuated = true))
            .filterIsInstance<AnswerEvacuation>().single().answer
}
