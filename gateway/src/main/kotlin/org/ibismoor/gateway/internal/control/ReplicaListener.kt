/**
 * Receives the effects and storage events of a running replica. All functions but those about storage are called on the
 * control thread.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.storage.api.StorageException

internal interface ReplicaListener {
    /** Performs [effect], which is never a write to the log. */
    fun perform(tables: CoordinationTables, effect: CoordinationEffect)

    /** A write to the log was synced; write and sync took [nanos]. */
    fun onLogSynced(nanos: Long)

    /** The disk refused a write or could not be opened. The replica has stopped and will retry. */
    fun onStorageRefused(cause: StorageException)

    /** The log was reopened with [records] records and the replica is about to start. */
    fun onStorageReopened(records: Int)

    /** The replica has failed and will not be restarted. */
    fun onFailure(cause: Throwable)
}
