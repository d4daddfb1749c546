/**
 * Keeps the membership of the group at the VMs that are there. A replica whose disk was lost comes back as a new
 * replica of its host and takes the place of the old one; a replica on another VM takes the place of a silent member.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.MembershipRequested
import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.AnswerJoin
import org.ibismoor.coordination.api.AskToJoin
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.JoinAnswered
import org.ibismoor.coordination.api.JoinReceived
import org.ibismoor.coordination.api.JoinRow
import org.ibismoor.coordination.api.SeedsChanged
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp

internal class JoinSystem(private val settings: CoordinationSettings) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val named = tick.messages.filterIsInstance<SeedsChanged>().lastOrNull()
            ?.let { tables.copy(seeds = it.hosts) } ?: tables
        val noted = tick.messages.filterIsInstance<JoinAnswered>().lastOrNull()
            ?.let { named.copy(join = named.join.copy(leader = it.leader)) } ?: named
        val taken = foldSteps(noted, tick.messages.filterIsInstance<JoinReceived>()) { table, message ->
            take(table, message, tick.now)
        }
        val asked = ask(taken.tables, tick.now)
        return CoordinationStep(asked.tables, taken.effects + asked.effects)
    }

    /** A replica without a group gets no message that would have it ask for the first time. */
    fun nextDue(tables: CoordinationTables): Timestamp? =
        tables.join.askAt ?: tables.consensus.now.takeUnless { isSettled(tables) }

    private fun isSettled(tables: CoordinationTables): Boolean {
        val status = tables.consensus.status()
        return status.leader != null && status.members.any { it.replica == tables.replica }
    }

    private fun ask(tables: CoordinationTables, now: Timestamp): CoordinationStep {
        val askAt = tables.join.askAt
        return when {
            isSettled(tables) -> CoordinationStep(if (askAt == null) tables else tables.copy(join = JoinRow()))
            askAt == null -> CoordinationStep(tables.askingAt(now))
            askAt > now -> CoordinationStep(tables)
            else -> {
                val hosts = (tables.seeds + tables.replicas().map(::hostOf)).distinct()
                CoordinationStep(tables.askingAt(now), listOf(AskToJoin(tables.replica, hosts)))
            }
        }
    }

    private fun CoordinationTables.askingAt(now: Timestamp): CoordinationTables =
        copy(join = join.copy(askAt = now + settings.joinMillis))

    private fun take(tables: CoordinationTables, message: JoinReceived, now: Timestamp): CoordinationStep {
        val leader = if (tables.leadingSince != null) tables.replica else tables.otherLeader()
        val answer = listOf(AnswerJoin(message.reply, leader))
        val target = if (tables.leadingSince != null) target(tables, message.replica, now) else null
        val next = target?.let { tables.copy(inputs = tables.inputs.add(MembershipRequested(it))) } ?: tables
        return CoordinationStep(next, answer)
    }

    /** The members with [joining] in the place of the one that it replaces; null if there is no place. */
    private fun target(tables: CoordinationTables, joining: ReplicaId, now: Timestamp): List<ReplicaId>? {
        val members = tables.replicas()
        val replaced = members.firstOrNull { it != joining && hostOf(it) == hostOf(joining) }
            ?: members.firstOrNull { it != tables.replica && isSilent(tables, it, now) }
        val isMember = joining in members && members.none { it != joining && hostOf(it) == hostOf(joining) }
        return if (isMember || replaced == null) null else (members - replaced + joining).distinct()
    }

    private fun isSilent(tables: CoordinationTables, member: ReplicaId, now: Timestamp): Boolean {
        val since = tables.leadingSince ?: now
        val heardAt = maxOf(tables.heardAt[member] ?: since, since)
        return now - heardAt >= settings.silentReplicaMillis
    }
}
