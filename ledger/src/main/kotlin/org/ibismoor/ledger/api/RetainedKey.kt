/**
 * A request key that the replicated log retains. [stamp] is the latest wall-clock time that the log had seen when the
 * key was added, so a clock that is set back does not shorten the retention.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.WallTime

@Serializable
data class RetainedKey(val key: RequestKey, val stamp: WallTime)
