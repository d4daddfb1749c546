/**
 * State of the control process of a failure domain, as seen by one router.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.Timestamp

/**
 * [lastContactAt] is the start time of the router until the first contact. [isSuspected] is true if the last request
 * to the control process got no answer. [holders] are the streams that hold a reservation there.
 */
data class AuthorityRow(
    val lastContactAt: Timestamp,
    val isSuspected: Boolean = false,
    val holders: PersistentSet<StreamId> = persistentHashSetOf(),
)
