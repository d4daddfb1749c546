/**
 * A reachable replica as a holder of a share. [remaining] is what the quorum knows to be left of its share, which
 * includes open reservations; [expected] is the use that it last stated. Both are in budget tokens.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.ReplicaId

data class ShareHolder(val replica: ReplicaId, val remaining: Long, val expected: Long)
