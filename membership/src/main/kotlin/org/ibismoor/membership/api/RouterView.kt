/**
 * What a router knows from the answers to its heartbeats.
 */
package org.ibismoor.membership.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.with

data class RouterView(
    val keyPrefix: String = "",
    val configuration: ConfigurationTables = ConfigurationTables(),
    val routerListVersion: Long = 0,
    val routers: PersistentList<RouterRow> = persistentListOf(),
    val reportVersion: Long = 0,
    val isLeaving: Boolean = false,
)

/**
 * The view after [answer]. The configuration never goes to a lower number, and a delta from a number that this router
 * does not have is ignored; the next heartbeat states the router's number again. Reports are not kept here but passed
 * on to the routing decisions.
 */
fun RouterView.withAnswer(answer: HeartbeatAnswer): RouterView =
    RouterView(
        keyPrefix = answer.keyPrefix,
        configuration = answer.configuration?.let { configuration.advancedBy(it) } ?: configuration,
        routerListVersion = answer.routerListVersion,
        routers = answer.routers?.toPersistentList() ?: routers,
        reportVersion = answer.reportVersion,
        isLeaving = isLeaving || answer.isLeaving,
    )

private fun ConfigurationTables.advancedBy(delta: ConfigurationDelta): ConfigurationTables? =
    when {
        delta.number <= number -> null
        delta.base == number -> with(delta)
        delta.base == ConfigurationNumber.NONE -> ConfigurationTables().with(delta)
        else -> null
    }
