/**
 * A group of replicas on a simulated network in virtual time, driven by one seed. Safety is checked at each step.
 */
package org.ibismoor.consensus

import org.ibismoor.consensus.api.ConfirmReadIndex
import org.ibismoor.consensus.api.ConsensusEffect
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.DeliverCommittedEntries
import org.ibismoor.consensus.api.EntriesRecord
import org.ibismoor.consensus.api.MessageReceived
import org.ibismoor.consensus.api.PersistRecords
import org.ibismoor.consensus.api.ReadIndexRequested
import org.ibismoor.consensus.api.RestoreSnapshot
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.createConsensus
import org.ibismoor.consensus.api.initialRecords
import org.ibismoor.consensus.api.status
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import java.util.PriorityQueue
import kotlin.random.Random

internal fun replica(name: String, epoch: Int = 1) = ReplicaId(FailureDomainId(name), epoch)

internal val A = replica("a")
internal val B = replica("b")
internal val C = replica("c")

/** Faults of the network and of the order of effects in a simulated group. */
internal data class SimulatedFaults(
    val lossPercent: Int = 0,
    val duplicatePercent: Int = 0,
    val maximumDelayMillis: Int = 2,
    val order: EffectOrder = EffectOrder.RECORDS_FIRST,
)

/** Order in which a process performs effects. All but the first are faults that the random schedules must detect. */
internal enum class EffectOrder { RECORDS_FIRST, MESSAGES_FIRST, COMMITS_FIRST }

private data class MessageInFlight(
    val arrivesAt: Long,
    val order: Long,
    val from: ReplicaId,
    val to: ReplicaId,
    val message: ConsensusMessage,
)

internal class SimulatedGroup(
    seed: Long,
    members: List<ReplicaId> = listOf(A, B, C),
    settings: ConsensusSettings = ConsensusSettings(),
    var faults: SimulatedFaults = SimulatedFaults(),
) {
    val random = Random(seed)
    val checker = SafetyChecker()
    val replicas = sortedMapOf<ReplicaId, SimulatedReplica>()
    val effects = mutableListOf<Pair<ReplicaId, ConsensusEffect>>()
    val brokenLinks = mutableSetOf<Pair<ReplicaId, ReplicaId>>()
    var now = 0L
        private set
    private val machine = createConsensus(settings)
    private val network = PriorityQueue(compareBy<MessageInFlight>({ it.arrivesAt }, { it.order }))
    private val reads = mutableMapOf<Long, Long>()
    private var order = 0L

    /** This replica is killed in the middle of the effects of its next tick that writes records. */
    var killDuringTick: ReplicaId? = null

    init {
        members.forEach { add(it, initialRecords(members)) }
    }

    fun add(id: ReplicaId, records: List<ConsensusRecord>) {
        val replica = SimulatedReplica(id, checker)
        replica.records = records
        replicas[id] = replica
        start(id)
    }

    fun start(id: ReplicaId) = get(id).start(Timestamp(now), random.nextLong())

    fun get(id: ReplicaId): SimulatedReplica = checkNotNull(replicas[id])

    fun tables(id: ReplicaId) = checkNotNull(get(id).tables)

    fun runningReplicas(): List<SimulatedReplica> = replicas.values.filter { it.tables != null && !it.isFrozen }

    fun leaders(): List<ReplicaId> = runningReplicas().filter { it.tables?.leadership != null }.map { it.id }

    fun leader(): ReplicaId = leaders().maxBy { tables(it).term }

    fun isolate(id: ReplicaId) {
        replicas.keys.filter { it != id }.forEach { brokenLinks += listOf(id to it, it to id) }
    }

    fun submit(id: ReplicaId, input: ConsensusInput) {
        get(id).inbox += input
        runTick(get(id))
    }

    /** Requests a read at [id], which must include everything that any replica has applied so far. */
    fun requestRead(id: ReplicaId): Long {
        val number = reads.size.toLong()
        reads[number] = checker.commitIndex
        submit(id, ReadIndexRequested(number))
        return number
    }

    fun run(millis: Long) {
        val end = now + millis
        while (handleNextEvent(end)) Unit
        now = end
    }

    /** Runs until [isDone], and fails after [limitMillis]. */
    fun runUntil(limitMillis: Long = 20_000, isDone: SimulatedGroup.() -> Boolean) {
        val end = now + limitMillis
        while (!isDone() && handleNextEvent(end)) Unit
        check(isDone()) { "condition not met within $limitMillis ms: ${replicas.values.map { it.tables?.status() }}" }
    }

    fun awaitLeader(): ReplicaId {
        runUntil { leaders().isNotEmpty() && tables(leader()).let { it.commitIndex >= it.leadership!!.firstIndex } }
        return leader()
    }

    /** Handles the next event up to [end], and returns false if there is none. */
    private fun handleNextEvent(end: Long): Boolean {
        val due = runningReplicas()
            .mapNotNull { replica -> replica.tables?.let(machine::nextDue)?.let { it.millis to replica } }
            .minByOrNull { it.first }
        val arrival = network.peek()
        val isArrival = arrival != null && (due == null || arrival.arrivesAt <= due.first)
        val at = if (isArrival) arrival!!.arrivesAt else due?.first ?: Long.MAX_VALUE
        if (at > end) return false
        now = maxOf(now, at)
        if (isArrival) deliver(network.remove()) else due?.second?.let(::runTick)
        return true
    }

    private fun deliver(flight: MessageInFlight) {
        val target = replicas[flight.to]?.takeIf { it.tables != null } ?: return
        target.inbox += MessageReceived(flight.from, flight.message)
        if (!target.isFrozen) runTick(target)
    }

    fun runTick(replica: SimulatedReplica) {
        val tables = replica.tables ?: return
        val step = machine.run(tables, Tick(Timestamp(now), WallTime(now), replica.inbox.toList()))
        replica.inbox.clear()
        val written = step.effects.filterIsInstance<PersistRecords>().flatMap { it.records }
        replica.recordStep(step.tables, written.filterIsInstance<EntriesRecord>())
        val isKilled = killDuringTick == replica.id && written.isNotEmpty()
        val ordered = when (faults.order) {
            EffectOrder.RECORDS_FIRST -> step.effects
            EffectOrder.MESSAGES_FIRST -> step.effects.sortedBy { it !is SendMessage }
            EffectOrder.COMMITS_FIRST -> step.effects.sortedBy { it !is DeliverCommittedEntries }
        }
        val performed = if (isKilled) ordered.take(random.nextInt(ordered.size)) else ordered
        performed.forEach { perform(replica, it) }
        if (isKilled) killDuringEffect(replica, ordered[performed.size])
    }

    /** A kill during a write leaves a prefix of the written records. */
    private fun killDuringEffect(replica: SimulatedReplica, effect: ConsensusEffect) {
        if (effect is PersistRecords) replica.records += effect.records.take(random.nextInt(effect.records.size + 1))
        replica.kill()
        killDuringTick = null
    }

    private fun perform(replica: SimulatedReplica, effect: ConsensusEffect) {
        effects += replica.id to effect
        when (effect) {
            is PersistRecords -> replica.records += effect.records
            is SendMessage -> send(replica.id, effect)
            is DeliverCommittedEntries -> replica.apply(effect.entries)
            is RestoreSnapshot -> replica.restore(effect)
            is ConfirmReadIndex -> checker.ensure(effect.index >= reads.getValue(effect.read)) { "stale read: $effect" }
            else -> Unit
        }
    }

    private fun send(from: ReplicaId, effect: SendMessage) {
        if (from to effect.to in brokenLinks || random.nextInt(100) < faults.lossPercent) return
        val copies = if (random.nextInt(100) < faults.duplicatePercent) 2 else 1
        repeat(copies) {
            val delay = 1 + random.nextInt(faults.maximumDelayMillis)
            network += MessageInFlight(now + delay, order++, from, effect.to, effect.message)
        }
    }
}
