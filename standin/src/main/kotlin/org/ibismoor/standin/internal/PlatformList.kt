/**
 * The platform's list of leaving VMs, read from a file. To simulate a list that is out of date, an answer holds the
 * content of the read before the latest one, and the file is read at most once per lag.
 */
package org.ibismoor.standin.internal

import kotlinx.serialization.Serializable
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.ibismoor.standin.api.PlatformSettings
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createServer
import org.ibismoor.transport.api.jsonResponse
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines

internal class PlatformList(private val settings: PlatformSettings) {
    private var visibleVms = readLeavingVms()
    private var latestVms = visibleVms
    private var lastReadNanos = System.nanoTime()

    val server: Http4kServer =
        createServer(ServerSettings(settings.host, settings.port)) { request, _ -> answer(request) }

    private fun answer(request: Request): Response =
        if (request.uri.path == "/vms") {
            jsonResponse(Status.OK, LeavingVms.serializer(), LeavingVms(visibleLeavingVms()))
        } else {
            Response(Status.NOT_FOUND)
        }

    @Synchronized
    private fun visibleLeavingVms(): List<String> {
        if (System.nanoTime() - lastReadNanos >= TimeUnit.MILLISECONDS.toNanos(settings.lagMillis)) {
            visibleVms = latestVms
            latestVms = readLeavingVms()
            lastReadNanos = System.nanoTime()
        }
        return visibleVms
    }

    private fun readLeavingVms(): List<String> =
        settings.file.readLines().map { it.trim().split(Regex("\\s+")) }
            .filter { it.last() == "leaving" }
            .map { it.first() }
}

@Serializable
private data class LeavingVms(val leaving: List<String>)
