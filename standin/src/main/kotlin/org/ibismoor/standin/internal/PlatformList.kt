/**
 * The platform's list of leaving VMs, read from a file. An answer is the content that the file had a lag ago, as far
 * as it was seen: the file is read at most once within the lag.
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
    private var shown = read()
    private var next = shown
    private var readAt = System.nanoTime()

    val server: Http4kServer =
        createServer(ServerSettings(settings.host, settings.port)) { request, _ -> answer(request) }

    private fun answer(request: Request): Response =
        if (request.uri.path == "/vms") {
            jsonResponse(Status.OK, LeavingVms.serializer(), LeavingVms(list()))
        } else {
            Response(Status.NOT_FOUND)
        }

    @Synchronized
    private fun list(): List<String> {
        if (System.nanoTime() - readAt >= TimeUnit.MILLISECONDS.toNanos(settings.lagMillis)) {
            shown = next
            next = read()
            readAt = System.nanoTime()
        }
        return shown
    }

    private fun read(): List<String> =
        settings.file.readLines().map { it.trim().split(Regex("\\s+")) }
            .filter { it.last() == "leaving" }
            .map { it.first() }
}

@Serializable
private data class LeavingVms(val leaving: List<String>)
