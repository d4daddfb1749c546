/**
 * What a router knows about the control process of a domain: when it was last heard, whether the last request to it
 * failed, and which streams hold a reservation there. Before the first contact, [heardAt] is the start of the router.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.Timestamp

data class AuthorityRow(
    val heardAt: Timestamp,
    val isSuspected: Boolean = false,
    val holders: PersistentSet<StreamId> = persistentHashSetOf(),
)
