/**
 * Result of an attempt at an upstream up to the head of its answer.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.AttemptFailure

internal sealed interface UpstreamResult {
    data class Answered(val answer: UpstreamAnswer) : UpstreamResult

    data class Failed(val failure: AttemptFailure) : UpstreamResult
}
