/**
 * Measures a request at the domain ledger of its failure domain: reserve and settle with their messages and records.
 * The size is the number of budgets.
 */
package org.ibismoor.bench.capacity.internal

import kotlinx.serialization.builtins.ListSerializer
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.AnswerBatch
import org.ibismoor.ledger.api.AppendRecords
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.RequestsReceived
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settle
import org.ibismoor.ledger.api.Settled
import org.ibismoor.ledger.api.createDomainLedger
import org.ibismoor.ledger.api.restoreDomainLedger
import org.ibismoor.transport.api.LedgerBatch
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.encodeJson

private const val REQUESTS = 5_000
private const val RESERVED_TOKENS = 700L
private const val SPENT_TOKENS = 420L
private const val STATUS_OK = 200
private const val REQUESTS_PER_MILLI = 4
private const val DIGEST_CHARACTERS = 64

internal class LedgerMeasurement : Measurement {
    override val name = MeasurementName.LEDGER
    override val unit = "budgets"
    override val sizes = budgetSizes

    override fun measure(size: Int): List<Figure> {
        val ledger = MeasuredLedger(size)
        val micros = microsPerRun(REQUESTS) { ledger.runRequest(it) }
        check(ledger.settledRequests == 2 * REQUESTS) {
            "${ledger.settledRequests} of ${2 * REQUESTS} requests were settled"
        }
        val total = ledger.settledRequests.toDouble()
        return listOf(
            Figure("control process", micros, "us each request"),
            Figure("messages", ledger.messageBytes / total, "bytes each request"),
            Figure("records", ledger.recordBytes / total, "bytes each request"),
        )
    }
}

private class MeasuredLedger(private val budgets: Int) {
    private val session = SessionId("3d234747-1fae-4d59-800e-20c44cc7f9d1")
    private val body = BodyDigest("a".repeat(DIGEST_CHARACTERS))
    private val machine = createDomainLedger()
    private val fleet = fleetOf(configuration(budgets, budgets / DIGEST_CHARACTERS))
    private var tables = restoreDomainLedger(targetReplicas.first(), emptyList(), fleet, Timestamp(0))
    var messageBytes = 0L
        private set
    var recordBytes = 0L
        private set
    var settledRequests = 0
        private set

    fun runRequest(number: Int) {
        val attempt = AttemptId(session, number.toLong())
        val key = RequestKey(organisationOf(budgets, number), "norte-1.1.29939564~48ba33cd-41d2-4229-$number")
        val budget = budgetId(number % budgets)
        val reserved = exchange(number, Reserve(attempt, key, budget, RESERVED_TOKENS, body, isClaim = false))
        check(reserved is Reserved) { "refused: $reserved" }
        if (exchange(number, Settle(attempt, key, SPENT_TOKENS, STATUS_OK)) is Settled) settledRequests += 1
    }

    private fun exchange(number: Int, request: LedgerRequest): LedgerAnswer {
        val text = encodeJson(LedgerBatch.serializer(), LedgerBatch(session, listOf(request)))
        decodeJson(LedgerBatch.serializer(), text)
        val millis = (number / REQUESTS_PER_MILLI).toLong()
        val message = RequestsReceived(number.toLong(), session, listOf(request))
        val step = machine.run(tables, Tick(Timestamp(millis), WallTime(millis), listOf(message)))
        tables = step.tables
        val answers = step.effects.filterIsInstance<AnswerBatch>().single().answers
        messageBytes += text.length + encodeJson(ListSerializer(LedgerAnswer.serializer()), answers).length
        recordBytes += recordBytesOf(step.effects)
        return answers.single()
    }

    private fun recordBytesOf(effects: List<DomainLedgerEffect>): Int =
        effects.filterIsInstance<AppendRecords>().flatMap { it.records }
            .sumOf { encodeJson(DomainRecord.serializer(), it).length }
}
