/**
 * Decisions of the control thread about one stream, which its traffic thread carries out.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.RefuseRequest

internal sealed interface StreamDecision {
    data class StartAttempt(val dispatch: Dispatch) : StreamDecision

    /** No further decision follows a final one. */
    sealed interface Final : StreamDecision

    data object DeliverAnswer : Final

    data class SendRefusal(val refusal: RefuseRequest) : Final
}
