package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.AnswerJoin
import org.ibismoor.coordination.api.AnswerRead
import org.ibismoor.coordination.api.AskLeader
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.JoinAnswered
import org.ibismoor.coordination.api.LeaderQueried
import org.ibismoor.coordination.api.OperatorAnswer
import org.ibismoor.coordination.api.ReadReceived
import org.ibismoor.coordination.api.SeedHostsChanged
import org.ibismoor.coordination.api.SendJoinRequest
import org.ibismoor.coordination.api.SendLeaderQuery
import org.ibismoor.coordination.api.Unconfirmed
import org.ibismoor.coordination.api.createCoordination
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime

class JoinTest : StringSpec({
    "a replica without a group sends join requests to the seed hosts in the current settings" {
        // Guards against a replica that lost its disk and sends join requests only to hosts that no longer exist.
        val replica = ReplicaWithoutGroup()
        val requests = mutableListOf<SendJoinRequest>()
        requests += replica.joinRequests(1)
        requests += replica.joinRequests(2, SeedHostsChanged(listOf("10.0.0.2", "10.0.0.3")))
        requests += replica.joinRequests(SETTINGS.joinRetryMillis + 2)
        requests.single().hosts shouldContainExactly listOf("10.0.0.2", "10.0.0.3")
    }

    "a join answer without a leader does not replace the leader that another one named" {
        // Guards against an operator's call that is answered 503 although the leader is known: a host that is itself
        // without a group answers after the one that names the leader.
        val replica = ReplicaWithoutGroup()
        replica.receive(1, JoinAnswered(LEADER))
        replica.receive(2, JoinAnswered(null))
        replica.answerToRead(3) shouldBe AskLeader(LEADER)
        replica.receive(4, JoinAnswered(LEADER), JoinAnswered(null))
        replica.answerToRead(5) shouldBe AskLeader(LEADER)
    }

    "a leader that no join answer has named for two requests is forgotten" {
        // Guards against redirects to a replica that has ended.
        val replica = ReplicaWithoutGroup()
        replica.receive(1, JoinAnswered(LEADER))
        replica.receive(1 + 2 * SETTINGS.joinRetryMillis, JoinAnswered(null))
        replica.answerToRead(2 + 2 * SETTINGS.joinRetryMillis) shouldBe Unconfirmed
    }

    "processes outside the group do not name a leader that has ended to each other for ever" {
        // Guards against operators and routers that are sent to an ended leader, although another one leads.
        val pair = listOf(ReplicaWithoutGroup(isObserver = true), ReplicaWithoutGroup(isObserver = true))
        pair.forEach { it.receive(1, JoinAnswered(LEADER)) }
        for (millis in 2..4_000L step SETTINGS.joinRetryMillis / 2) {
            pair.forEach { replica ->
                val other = pair.single { it !== replica }
                val answer = other.receive(millis, LeaderQueried(1)).filterIsInstance<AnswerJoin>().single()
                replica.receive(millis, JoinAnswered(answer.leader, answer.ageMillis))
            }
        }
        pair.forEach { it.answerToRead(4_001) shouldBe Unconfirmed }
    }

    "the latest contact with a leader decides which one is named" {
        // Guards against a former leader that replaces the present one, since its name arrives later.
        val replica = ReplicaWithoutGroup()
        replica.receive(500, JoinAnswered(OTHER_LEADER))
        replica.receive(510, JoinAnswered(LEADER, ageMillis = 400))
        replica.answerToRead(511) shouldBe AskLeader(OTHER_LEADER)
        replica.receive(520, JoinAnswered(LEADER, ageMillis = 3), JoinAnswered(OTHER_LEADER, ageMillis = 90))
        replica.answerToRead(521) shouldBe AskLeader(LEADER)
    }

    "an observer asks for the leader, never for membership, and refers operators to it" {
        // Guards against a voter without a disk, which forgets its vote and its log with a restart.
        val observer = ReplicaWithoutGroup(isObserver = true)
        val effects = observer.receive(1) + observer.receive(SETTINGS.joinRetryMillis + 2)
        effects.filterIsInstance<SendLeaderQuery>().single().hosts shouldContainExactly listOf("10.0.0.1")
        effects.filterIsInstance<SendJoinRequest>().shouldBeEmpty()
        observer.receive(600, JoinAnswered(LEADER))
        observer.answerToRead(601) shouldBe AskLeader(LEADER)
    }

    "a join request also goes to the leader that an answer has named" {
        // Guards against a replica that never joins since all hosts in its settings are outside the group.
        val replica = ReplicaWithoutGroup()
        replica.receive(1, JoinAnswered(OTHER_LEADER))
        val requests = replica.joinRequests(SETTINGS.joinRetryMillis + 2)
        requests.single().hosts shouldContainExactly listOf("10.0.0.1", "10.0.0.2")
    }
})

private val SETTINGS = CoordinationSettings()
private val LEADER = ReplicaId(FailureDomainId("10.0.0.1"), 1)
private val OTHER_LEADER = ReplicaId(FailureDomainId("10.0.0.2"), 1)

private class ReplicaWithoutGroup(isObserver: Boolean = false) {
    private val machine = createCoordination(TextCodec(), SETTINGS)
    private var tables = restoreCoordination(
        CoordinationStart(ReplicaId(FailureDomainId("10.0.0.9"), 2), listOf("10.0.0.1"), 1, Timestamp(0), isObserver),
        emptyList(),
        TextCodec(),
    )

    fun receive(millis: Long, vararg messages: CoordinationMessage): List<CoordinationEffect> =
        machine.run(tables, Tick(Timestamp(millis), WallTime(millis), messages.toList())).also { tables = it.tables }
            .effects

    fun joinRequests(millis: Long, vararg messages: CoordinationMessage): List<SendJoinRequest> =
        receive(millis, *messages).filterIsInstance<SendJoinRequest>()

    fun answerToRead(millis: Long): OperatorAnswer =
        receive(millis, ReadReceived(reply = 1)).filterIsInstance<AnswerRead>().single().answer
}
