/**
 * What a running replica tells its process. All functions but those about storage are called on the control thread.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.storage.api.StorageException

internal interface ReplicaListener {
    /** Perform [effect], which is not a write of the log. */
    fun perform(tables: CoordinationTables, effect: CoordinationEffect)

    /** A write of the log was synced after [nanos]. */
    fun synced(nanos: Long)

    /** The disk refused a write or could not be opened. The replica has ended and will try again. */
    fun storageRefused(cause: StorageException)

    /** The log was opened again with [records] records, and the replica starts. */
    fun storageReopened(records: Int)

    /** The replica has ended for good. */
    fun failed(cause: Throwable)
}
