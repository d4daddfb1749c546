/**
 * A transfer of leadership to [target], given up at [deadline].
 */
package org.ibismoor.consensus.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

internal data class TransferRow(val target: ReplicaId, val deadline: Timestamp)
