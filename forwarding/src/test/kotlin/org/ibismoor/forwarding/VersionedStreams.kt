/**
 * Streams and upstreams of several software versions for tests with one router.
 */
package org.ibismoor.forwarding

import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.RequestNumber

internal val STARTED_LOSS = AnswerLost("reset", events = 3, isAnswerStarted = true, isResumable = true)
internal val UNSTARTED_LOSS = AnswerLost("reset", events = 0, isAnswerStarted = false, isResumable = false)

internal fun engines(prefix: String, version: SoftwareVersion, count: Int): List<UpstreamEntry> =
    List(count) { upstream("$prefix-$it", version = version) }

internal fun RouterHarness.sendStream(): RequestNumber = sendRequest("/chat/1", prompt = promptOf(100, 10))

/** Sends a stream whose first attempt has brought an event. */
internal fun RouterHarness.beginStream(): RequestNumber =
    sendStream().also { post(FirstEventArrived(it, 1, null)) }

/** The usual configuration with [attempts] attempts on each route. */
internal fun configurationWithAttempts(attempts: Int): ForwardingConfiguration {
    val configuration = configurationOf(1, null)
    val routes = configuration.routes.mapValues { (_, rows) ->
        rows.map { it.copy(maximumAttempts = attempts) }.toPersistentList()
    }
    return configuration.copy(routes = routes.toPersistentHashMap())
}

internal fun RouterHarness.versionsOf(number: RequestNumber): List<SoftwareVersion> =
    attemptsOf(number).map { it.upstream.version }
