/**
 * The operator publishes one configuration after the other under rising versions, sends each until it is confirmed, and
 * reads the configuration back from all control processes in turn.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.then
import org.ibismoor.platform.api.PlatformDocuments
import org.ibismoor.soak.api.BudgetSet
import org.ibismoor.soak.api.ConfigurationConfirmed
import org.ibismoor.soak.api.ConfigurationRead
import org.ibismoor.soak.api.ConfigurationSent
import org.ibismoor.soak.api.KeyRevoked
import org.ibismoor.soak.internal.FLEET_PORTS
import org.ibismoor.soak.internal.FleetLayout
import org.ibismoor.soak.internal.OK
import org.ibismoor.soak.internal.digestOf

private const val FIRST_SEND_MILLIS = 300L
private const val RESEND_MILLIS = 1_100L
private const val PUBLICATION_MILLIS = 2_000L
private const val PUBLICATION_SPREAD_MILLIS = 3_000L
private const val READ_MILLIS = 400L
private const val VERSION_SPREAD = 4L

internal class OperatorSystem(private val documents: PlatformDocuments) : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep =
        forEachMessage(tables, tick) { current, message ->
            when (message) {
                is SoakStarted -> Step(current.at(tick.now + FIRST_SEND_MILLIS, PublicationDue))
                is WorkDue -> continueWork(current, message.work, tick.now)
                is PublicationAnswered -> confirm(current, message, tick.now)
                is ConfigurationAnswered -> observeRead(current, message, tick.now)
                else -> Step(current)
            }
        }

    private fun continueWork(tables: SoakTables, work: DueWork, now: Timestamp): SoakStep =
        when {
            work is PublicationDue && tables.operator.nextSendAt <= now -> send(tables, now)
            work is ReadDue -> read(tables, now)
            else -> Step(tables)
        }

    private fun send(tables: SoakTables, now: Timestamp): SoakStep {
        if (tables.phase > SoakPhase.SERVING) return Step(tables)
        val operator = if (tables.operator.isConfirmed) nextPublication(tables) else tables.operator
        val document = documents.configuration(describeConfiguration(operator))
        val address = controlAddress(tables.layout, operator.sends)
        val nextSendAt = now + RESEND_MILLIS
        val sent = tables.copy(operator = operator.copy(sends = operator.sends + 1, nextSendAt = nextSendAt))
        val observations = if (operator.sends == 0) sendObservations(operator, document, now) else emptyList()
        return Step(
            sent.at(nextSendAt, PublicationDue),
            observations.map(::Observe) + PublishConfiguration(operator.publication, address, document),
        )
    }

    private fun nextPublication(tables: SoakTables): OperatorRow {
        val last = tables.operator
        val step = 1 + tables.draw(VERSION_SPREAD, "version", last.publication)
        return OperatorRow(last.version + step, last.publication + 1, reads = last.reads)
    }

    private fun sendObservations(operator: OperatorRow, document: String, now: Timestamp) =
        listOf(ConfigurationSent(now, operator.version, digestOf(document.encodeToByteArray()))) +
            ORGANISATIONS.map { BudgetSet(now, it, budgetOf(it, operator.publication), isConfirmed = false) }

    private fun confirm(tables: SoakTables, answer: PublicationAnswered, now: Timestamp): SoakStep {
        val operator = tables.operator
        val isAwaited = answer.publication == operator.publication && !operator.isConfirmed
        if (!isAwaited || answer.status != OK) return Step(tables)
        val delay = PUBLICATION_MILLIS + tables.draw(PUBLICATION_SPREAD_MILLIS, "publication", operator.publication)
        val nextSendAt = now + delay
        val confirmed = tables.copy(operator = operator.copy(isConfirmed = true, nextSendAt = nextSendAt))
        val budgets = ORGANISATIONS.map { BudgetSet(now, it, budgetOf(it, operator.publication)) }
        val revoked = ORGANISATIONS.filter { isKeyRevokedAt(it, operator.publication) }.map { KeyRevoked(now, it) }
        val observations = listOf(ConfigurationConfirmed(now, operator.version)) + budgets + revoked
        return Step(confirmed.at(nextSendAt, PublicationDue), observations.map(::Observe))
            .then { if (operator.publication == 1) Step(it.at(now, ReadDue)) else Step(it) }
    }

    private fun read(tables: SoakTables, now: Timestamp): SoakStep {
        if (tables.phase > SoakPhase.FINISHING) return Step(tables)
        val operator = tables.operator
        val next = tables.copy(operator = operator.copy(reads = operator.reads + 1)).at(now + READ_MILLIS, ReadDue)
        return Step(next, listOf(ReadConfiguration(controlAddress(tables.layout, operator.reads), now)))
    }

    private fun controlAddress(layout: FleetLayout, turn: Int): String =
        "${layout.controlHosts[turn % layout.controlHosts.size]}:${FLEET_PORTS.control}"

    private fun observeRead(tables: SoakTables, answer: ConfigurationAnswered, now: Timestamp): SoakStep {
        val version = answer.version ?: return Step(tables)
        val read = ConfigurationRead(
            at = now,
            process = answer.control,
            incarnation = tables.processes.getValue(answer.control).starts,
            sentAt = answer.sentAt,
            version = version,
            digest = answer.digest,
        )
        return Step(tables, listOf(Observe(read)))
    }
}
