/**
 * A control process as operators' programs see it. Calls block.
 */
package org.ibismoor.operator.api

import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.LedgerView

interface ControlPort {
    /** The answer of the process at [url]; null if there is none, in which case the publication may have arrived. */
    fun publish(url: String, publication: Publication): PublicationAnswer?

    fun status(url: String): ControlStatus?

    /** The ledger, of one [organisation] if it is given. */
    fun ledger(url: String, organisation: String?): LedgerView?
}
