/**
 * Decision on one request: the work so far, and the answer, or null while the request is pending.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.ledger.api.LedgerAnswer

internal data class Decision(val work: LedgerWork, val answer: LedgerAnswer?)
