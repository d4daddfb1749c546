/**
 * Delays between failure domains, in whole milliseconds of the replay. Within a domain a message takes 1 ms.
 */
package org.ibismoor.bench.replay.internal

import org.ibismoor.core.api.FailureDomainId
import kotlin.math.ceil

internal class Network(oneWayMillis: Double) {
    private val between = 1 + ceil(oneWayMillis).toLong()

    fun delay(from: FailureDomainId, to: FailureDomainId): Long = if (from == to) 1 else between
}
