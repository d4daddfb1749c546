/**
 * Polls the upstreams of this failure domain for their load and the platform for its list of leaving VMs, once a
 * second. Posts the results to the control thread.
 */
package org.ibismoor.control.internal

import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.fleet.api.LeavingVmsReceived
import org.ibismoor.fleet.api.UpstreamLoadReceived
import org.ibismoor.fleet.api.UpstreamPollFailed
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.transport.api.CallResult
import org.ibismoor.transport.api.InternalClient
import org.ibismoor.transport.api.LoadReport
import org.ibismoor.transport.api.getJson
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val POLL_INTERVAL_MILLIS = 1_000L

internal class UpstreamPolls(
    private val client: InternalClient,
    private val port: ControlPort,
    private val platformUrl: String?,
    private val meters: ControlMeters,
) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "polls").apply { isDaemon = true } }

    fun start() {
        timer.scheduleAtFixedRate(::pollAll, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
    }

    private fun pollAll() {
        val tables = port.tables
        tables.fleet.configuration.upstreams.values.filter { it.domain == tables.replica.domain }.forEach(::poll)
        platformUrl?.let(::pollPlatform)
    }

    private fun poll(upstream: Upstream) {
        client.getJson<LoadReport>("${upstream.baseUrl}/load").thenAccept { result ->
            if (result is CallResult.Answered) {
                port.post(UpstreamLoadReceived(reportOf(upstream, result.answer)))
            } else {
                meters.countPollFailure("upstream")
                port.post(UpstreamPollFailed(upstream.id))
            }
        }
    }

    private fun reportOf(upstream: Upstream, load: LoadReport): UpstreamReport =
        UpstreamReport(upstream.id, load.running, load.waiting, load.isLeaving, load.startId, ageMillis = 0)

    private fun pollPlatform(url: String) {
        client.getJson<PlatformList>(url).thenAccept { result ->
            if (result is CallResult.Answered) {
                port.post(LeavingVmsReceived(result.answer.leaving.toSet()))
            } else {
                meters.countPollFailure("platform")
            }
        }
    }
}

/** Response of the platform. [leaving] has the names or base URLs of the VMs that are leaving. */
@Serializable
internal data class PlatformList(val leaving: List<String>)
