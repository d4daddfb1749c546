/**
 * A request key in a retention order of the fleet tables. [stamp] is the latest wall-clock time in the log when the key
 * was added, so setting a clock back does not shorten the retention.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.WallTime

@Serializable
data class RetainedKey(val key: RequestKey, val stamp: WallTime)
