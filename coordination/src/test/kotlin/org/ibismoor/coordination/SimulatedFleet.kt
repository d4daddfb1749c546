/**
 * Control replicas and routers in virtual time, on a network that loses, delays and partitions messages at random from
 * a seed. A killed replica keeps its synced records; a wiped one loses them.
 */
package org.ibismoor.coordination

import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.AnswerEvacuation
import org.ibismoor.coordination.api.AnswerJoin
import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.AnswerRead
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.ConsensusReceived
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.EvacuationRequested
import org.ibismoor.coordination.api.JoinAnswered
import org.ibismoor.coordination.api.JoinReceived
import org.ibismoor.coordination.api.OperatorAnswer
import org.ibismoor.coordination.api.PublicationReceived
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.ReadReceived
import org.ibismoor.coordination.api.ReplaceRecords
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.SendJoinRequest
import org.ibismoor.coordination.api.SendLeaderAnnouncement
import org.ibismoor.coordination.api.SendToReplica
import org.ibismoor.coordination.api.SyncRecords
import org.ibismoor.coordination.api.bootstrapRecords
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.coordination.api.createCoordination
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import kotlin.random.Random

internal val HOSTS = listOf("10.0.0.1", "10.0.0.2", "10.0.0.3")

private const val MAXIMUM_DELAY_MILLIS = 8

/** Delay after which a control process opens its log again. */
private const val REOPEN_DELAY_MILLIS = 500L

/** The first [firstMembers] of the [hosts] start with the group's first records; the others join it. */
internal class SimulatedFleet(
    seed: Int,
    private val settings: CoordinationSettings = CoordinationSettings(),
    val hosts: List<String> = HOSTS,
    firstMembers: Int = HOSTS.size,
) {
    val random = Random(seed)
    private val codec = TextCodec()
    private val machine = createCoordination(codec, settings)
    private val seedHosts = hosts.take(firstMembers)

    /** Control hosts in the settings of every process that starts from now on. */
    var settingsHosts: List<String> = seedHosts
    private val disks = hosts.associateWith(::firstDisk).toMutableMap()
    private val running = mutableMapOf<String, CoordinationTables>()
    private val messagesInFlight = mutableListOf<MessageInFlight>()
    private val fullDisks = mutableSetOf<String>()
    private val restarts = mutableMapOf<String, Long>()
    private val partitionedPairs = mutableSetOf<Set<String>>()
    private var nextReply = 1L
    private var nextEpoch = 3
    private val routers = mutableListOf<SimulatedRouter>()
    private val publications = mutableMapOf<Long, Long>()
    private val reads = mutableMapOf<Long, Long>()

    var now = 0L
        private set

    /** Fraction of messages that are lost. */
    var lossRate = 0.0

    /** Highest version that was confirmed to an operator. */
    var acknowledgedVersion = 0L
        private set

    /** Answers to orders on failure domains, by the number that [order] returned. */
    val orderAnswers = mutableMapOf<Long, OperatorAnswer>()

    private val reportAnswers = mutableMapOf<Long, ReportAnswer>()

    /** Violated guarantees. */
    val violations = mutableListOf<String>()

    private class Disk(val replica: ReplicaId, var records: List<ConsensusRecord>)

    private class MessageInFlight(val at: Long, val from: String, val to: String, val message: CoordinationMessage)

    private fun firstDisk(host: String): Disk =
        if (host in seedHosts) {
            Disk(bootstrapReplica(host), bootstrapRecords(seedHosts))
        } else {
            Disk(ReplicaId(FailureDomainId(host), 2), emptyList())
        }

    fun start(host: String) {
        val disk = disks.getValue(host)
        val start = CoordinationStart(disk.replica, settingsHosts, random.nextLong(), Timestamp(now))
        running[host] = restoreCoordination(start, disk.records, codec, settings)
    }

    fun kill(host: String) {
        running -= host
    }

    /** Loses the disk; the host then starts as a new replica. */
    fun wipe(host: String) {
        kill(host)
        disks[host] = Disk(ReplicaId(FailureDomainId(host), nextEpoch++), emptyList())
    }

    /** The disk refuses writes. A replica that meets this stops, and starts again after the delay of the process. */
    fun fillDisk(host: String) {
        fullDisks += host
    }

    fun freeDisk(host: String) {
        fullDisks -= host
    }

    fun isRunning(host: String): Boolean = host in running

    fun partition(one: String, other: String) {
        partitionedPairs += setOf(one, other)
    }

    fun dropMessagesInFlight() = messagesInFlight.clear()

    fun heal() = partitionedPairs.clear()

    fun addRouter(router: SimulatedRouter) {
        routers += router
    }

    fun publish(host: String, version: Long, budget: Long) {
        val configuration = PublishedConfiguration(version, "document $version", mapOf(ORGANISATION to budget))
        val reply = nextReply++
        publications[reply] = version
        deliver(host, PublicationReceived(reply, configuration))
    }

    fun read(host: String) {
        val reply = nextReply++
        reads[reply] = acknowledgedVersion
        deliver(host, ReadReceived(reply))
    }

    /** Sends an operator's order to the control process on [host]. */
    fun order(host: String, domain: String, isEvacuated: Boolean): Long =
        nextReply++.also { deliver(host, EvacuationRequested(it, FailureDomainId(domain), isEvacuated)) }

    /** The answer to a report of [router] that needs no log entry; null if the host does not answer at once. */
    fun answerAt(host: String, router: SimulatedRouter): ReportAnswer? {
        val reply = nextReply++
        deliver(host, ReportReceived(reply, router.report()))
        return reportAnswers[reply]
    }

    fun stateAt(host: String): CoordinationState = running.getValue(host).state

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            now++
            val due = messagesInFlight.filter { it.at <= now }
            messagesInFlight.removeAll(due)
            due.forEach { deliver(it.to, it.message) }
            routers.forEach { it.tick(this) }
            restarts.filterValues { it <= now }.keys.forEach { host -> restarts.remove(host).also { start(host) } }
            running.keys.toList().forEach { host ->
                val next = running[host]?.let(machine::nextDue)
                if (next != null && next.millis <= now) tick(host, emptyList())
            }
        }
    }

    fun report(host: String, router: SimulatedRouter) {
        val reply = nextReply++
        router.pendingReply = reply
        if (!isLost()) deliver(host, ReportReceived(reply, router.report()))
    }

    val leaders: List<String> get() = running.filterValues { it.leadingSince != null }.keys.toList()

    val leader: String? get() = running.entries.firstOrNull { it.value.leadingSince != null }?.key

    fun versionAt(host: String): Long = running[host]?.state?.configuration?.version ?: 0

    /** The host to which the process on [host] refers callers; null without one. */
    fun leaderNamedAt(host: String): String? =
        running[host]?.let { it.consensus.status().leader ?: it.join.leader }?.let(::hostOf)

    /** True if the host runs and still has the disk with this replica's log. */
    fun isRunning(replica: ReplicaId): Boolean =
        hostOf(replica).let { it in running && disks.getValue(it).replica == replica }

    fun votersAt(host: String): List<String> =
        running[host]?.consensus?.status()?.members.orEmpty().filter { it.isVoter }.map { hostOf(it.replica) }

    fun membersAt(host: String): List<ReplicaId> =
        running[host]?.consensus?.status()?.members.orEmpty().map { it.replica }

    private fun isLost() = random.nextDouble() < lossRate

    private fun deliver(host: String, message: CoordinationMessage) {
        if (host in running) tick(host, listOf(message))
    }

    private fun tick(host: String, messages: List<CoordinationMessage>) {
        val step = machine.run(running.getValue(host), Tick(Timestamp(now), WallTime(now), messages))
        running[host] = step.tables
        val performed = if (host in fullDisks) step.effects.takeWhile { !isWrite(it) } else step.effects
        performed.forEach { perform(host, it) }
        if (performed.size < step.effects.size) {
            kill(host)
            restarts[host] = now + REOPEN_DELAY_MILLIS
        }
    }

    private fun isWrite(effect: CoordinationEffect): Boolean = effect is SyncRecords || effect is ReplaceRecords

    private fun perform(host: String, effect: CoordinationEffect) {
        val disk = disks.getValue(host)
        when (effect) {
            is SyncRecords -> disk.records += effect.records
            is ReplaceRecords -> disk.records = effect.records
            is SendToReplica -> sendTo(host, effect)
            is SendJoinRequest -> (effect.hosts - host).forEach { send(host, it, JoinReceived(0, effect.replica)) }
            is SendLeaderAnnouncement -> effect.hosts.forEach { send(host, it, JoinAnswered(effect.leader)) }
            is AnswerJoin -> (hosts - host).forEach { send(host, it, JoinAnswered(effect.leader, effect.ageMillis)) }
            else -> deliverAnswer(effect)
        }
    }

    /** Drops a message to a replica that its host no longer runs. */
    private fun sendTo(host: String, effect: SendToReplica) {
        val target = hostOf(effect.to)
        if (disks[target]?.replica != effect.to) return
        send(host, target, ConsensusReceived(disks.getValue(host).replica, effect.message))
    }

    private fun deliverAnswer(effect: CoordinationEffect) {
        when (effect) {
            is AnswerEvacuation -> orderAnswers[effect.reply] = effect.answer
            is AnswerReport -> {
                reportAnswers[effect.reply] = effect.answer
                routers.firstOrNull { it.pendingReply == effect.reply }
                    ?.let { if (!isLost()) it.receiveAnswer(effect.answer) }
            }
            is AnswerPublication -> recordPublication(effect)
            is AnswerRead -> checkRead(effect.reply, effect.answer)
            else -> Unit
        }
    }

    private fun recordPublication(effect: AnswerPublication) {
        val version = publications.remove(effect.reply) ?: return
        if (effect.answer is Confirmed) acknowledgedVersion = maxOf(acknowledgedVersion, version)
    }

    private fun checkRead(reply: Long, answer: OperatorAnswer) {
        val minimum = reads.remove(reply) ?: return
        val version = (answer as? Confirmed)?.configuration?.version ?: return
        if (version < minimum) violations += "a read gave version $version after $minimum was acknowledged"
    }

    private fun send(from: String, to: String, message: CoordinationMessage) {
        if (setOf(from, to) in partitionedPairs || isLost()) return
        messagesInFlight += MessageInFlight(now + 1 + random.nextInt(MAXIMUM_DELAY_MILLIS), from, to, message)
    }
}
