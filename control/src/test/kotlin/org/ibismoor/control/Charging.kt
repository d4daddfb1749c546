package org.ibismoor.control

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.SessionId
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settle
import org.ibismoor.ledger.api.Settled

internal const val PRICE = 10L
private const val OK_STATUS = 200

/** A router session that charges requests at one control process and repeats each ledger request without an answer. */
internal class Charging(private val group: ControlGroup, private val node: Int) {
    private val session = SessionId("session-$node")
    private var sequence = 0L

    /** Repeats until the request with [key] is charged. A refused settlement is followed by a new attempt. */
    fun charge(key: String) {
        val request = RequestKey(OrganisationId("travel"), key)
        awaitTrue("the charge of $key") { tryCharge(request) }
    }

    private fun tryCharge(key: RequestKey): Boolean {
        sequence++
        val attempt = AttemptId(session, sequence)
        val reserve = Reserve(attempt, key, BudgetId("prepaid"), PRICE, BodyDigest("a".repeat(DIGEST)), false)
        val reserved = await("an answer to a reservation") { group.sendLedgerRequest(node, session, reserve) }
        return reserved is Reserved && (reserved.isRerun || settle(attempt, key))
    }

    /** Sends the settlement again after it was answered, as a router does after a lost answer. */
    private fun settle(attempt: AttemptId, key: RequestKey): Boolean {
        val settle = Settle(attempt, key, PRICE, OK_STATUS)
        val settled = await("an answer to a settlement") { group.sendLedgerRequest(node, session, settle) }
        if (settled is Settled) {
            await("an answer to a repeated settlement") { group.sendLedgerRequest(node, session, settle) }
        }
        return settled is Settled
    }

    private companion object {
        const val DIGEST = 64
    }
}
