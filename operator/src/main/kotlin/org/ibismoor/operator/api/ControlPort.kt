/**
 * Blocking client of control processes for the operator programs. A call returns null if it got no answer.
 */
package org.ibismoor.operator.api

import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.LedgerView

interface ControlPort {
    /** Null means that no answer was received; the publication may still have arrived. */
    fun publish(url: String, publication: Publication): PublicationAnswer?

    fun status(url: String): ControlStatus?

    /** A null [organisation] selects the charges of all organisations. */
    fun ledger(url: String, organisation: String?): LedgerView?
}
