/**
 * A transfer of leadership that is cancelled at [TransferRow.deadline].
 */
package org.ibismoor.consensus.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

internal data class TransferRow(val target: ReplicaId, val deadline: Timestamp)
