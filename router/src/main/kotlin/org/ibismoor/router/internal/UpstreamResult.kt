/**
 * Result of sending a request to an upstream, up to the header of the answer.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.AttemptFailure

internal sealed interface UpstreamResult {
    data class Answered(val answer: UpstreamAnswer) : UpstreamResult

    data class Failed(val failure: AttemptFailure) : UpstreamResult
}
