/**
 * A reachable replica that may hold a share. [remaining] is the rest of its share by the merged counters and includes
 * open reservations; [expected] is the expected use that it last reported. Both are in budget tokens.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.ReplicaId

data class ShareHolder(val replica: ReplicaId, val remaining: Long, val expected: Long)
