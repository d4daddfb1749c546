/**
 * What the control thread decides about one stream, as its traffic thread receives it.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.RefuseRequest

internal sealed interface StreamDecision {
    data class Start(val dispatch: Dispatch) : StreamDecision

    /** A decision after which none follows. */
    sealed interface Last : StreamDecision

    data object Deliver : Last

    data class Reject(val refuse: RefuseRequest) : Last
}
