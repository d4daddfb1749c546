/**
 * Sends the answers of control processes to the processes and operators that wait for them.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.fleet.api.AnswerLedgerRequests
import org.ibismoor.fleet.api.AnswerPublication
import org.ibismoor.fleet.api.AnswerRouter
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.CommandCommitted
import org.ibismoor.fleet.api.ForwardAnswered
import org.ibismoor.fleet.api.NotLeader
import org.ibismoor.routing.api.ControlContactReceived
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.scenario.api.TraceKind

private const val PUBLICATION_RETRY_DELAY_MILLIS = 500L

internal fun answerCommand(world: World, domain: FailureDomainId, reply: Long, answer: CommandAnswer): World {
    val row = world.pendingExchanges[reply] as? PendingForward ?: return world
    val target = world.replicas.getValue(row.domain).replica
    return sendToReplica(world, domain, target, ForwardAnswered(row.forward, answer))
}

internal fun answerLedger(world: World, domain: FailureDomainId, effect: AnswerLedgerRequests): World {
    val row = world.pendingExchanges[effect.reply] as? PendingLedgerRequest ?: return world
    val isPartitioned = world.isPartitioned(endpointOf(world, domain), world.routers.getValue(row.router).endpoint)
    return if (isPartitioned) world else sendLedgerAnswers(world, domain, effect, row)
}

private fun sendLedgerAnswers(
    world: World,
    domain: FailureDomainId,
    effect: AnswerLedgerRequests,
    row: PendingLedgerRequest,
): World {
    val messages = effect.answers.map(::LedgerAnswered) + ControlContactReceived(LedgerAuthority(domain))
    val answered = world.copy(pendingExchanges = world.pendingExchanges.remove(effect.reply))
    return messages.fold(answered) { state, message ->
        state.schedule(world.network.delayMillis, RouterMessageDue(row.router, row.session, message))
    }
}

internal fun answerRouter(world: World, domain: FailureDomainId, effect: AnswerRouter): World {
    val row = world.pendingExchanges[effect.reply] as? PendingHeartbeat ?: return world
    val router = world.routers.getValue(row.router).endpoint
    return world.copy(pendingExchanges = world.pendingExchanges.remove(effect.reply))
        .send(endpointOf(world, domain), router, HeartbeatAnswered(row.router, row.session, domain, effect.answer))
}

/** An operator retries at the leader that the answer names, or at the same control process if it names none. */
internal fun answerPublication(world: World, domain: FailureDomainId, effect: AnswerPublication): World {
    val row = world.pendingExchanges[effect.reply] as? PendingPublication ?: return world
    val publication = world.publications.getValue(row.publication)
    val answer = effect.answer
    return when (answer) {
        is CommandCommitted -> {
            val answeredPublication = publication.copy(isAnswered = true)
            world.withTraceLine(TraceKind.OUTCOME, "publication ${publication.digest}: ${answer.result}").copy(
                publications = world.publications.put(row.publication, answeredPublication),
                observations = world.observations.withPublication(publication, answer.result, world.now),
            )
        }
        is NotLeader -> {
            val next = answer.leader?.domain ?: domain
            val attempt = PublicationAttemptDue(row.publication, next, effect.reply)
            world.schedule(PUBLICATION_RETRY_DELAY_MILLIS, attempt)
        }
        else -> world
    }
}
