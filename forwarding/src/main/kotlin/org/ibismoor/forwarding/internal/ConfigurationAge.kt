/**
 * Decides whether a router may rely on what its configuration does not contain.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.ForwardingTables

/**
 * True if any version that the router does not have was committed less than [limitMillis] ago. Only then may it tell a
 * caller that a route or key does not exist: callers do not retry after such an answer.
 */
internal fun ForwardingTables.isConfigurationCurrent(now: Timestamp, limitMillis: Long): Boolean {
    val status = configurationStatus
    val namedAt = status.namedAt ?: return false
    return status.newestVersion <= (configuration?.version ?: 0) && now - namedAt <= limitMillis
}
