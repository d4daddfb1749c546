/**
 * State of the fleet at a router, built from the answers to its heartbeats.
 */
package org.ibismoor.membership.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.withDelta

data class RouterView(
    val keyPrefix: String = "",
    val configuration: ConfigurationTables = ConfigurationTables(),
    val routerListVersion: Long = 0,
    val routers: PersistentList<RouterRow> = persistentListOf(),
    val reportVersion: Long = 0,
    val isLeaving: Boolean = false,
)

/**
 * The view updated by [answer]. The configuration never returns to a lower number. A delta with a base that the router
 * does not have is ignored; the next heartbeat reports the number of the router again. Upstream reports are not kept
 * here; routing handles them.
 */
fun RouterView.withAnswer(answer: HeartbeatAnswer): RouterView =
    RouterView(
        keyPrefix = answer.keyPrefix,
        configuration = answer.configuration?.let { configuration.withNewer(it) } ?: configuration,
        routerListVersion = answer.routerListVersion,
        routers = answer.routers?.toPersistentList() ?: routers,
        reportVersion = answer.reportVersion,
        isLeaving = isLeaving || answer.isLeaving,
    )

/** Null if [delta] is outdated or does not apply to this configuration. */
private fun ConfigurationTables.withNewer(delta: ConfigurationDelta): ConfigurationTables? =
    when {
        delta.number <= number -> null
        delta.base == number -> withDelta(delta)
        delta.base == ConfigurationNumber.NONE -> ConfigurationTables().withDelta(delta)
        else -> null
    }
