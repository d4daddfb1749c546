/**
 * Factories of HTTP servers based on Undertow. They read request bodies without occupying a thread, and write and flush
 * each part of an answer as soon as it is available.
 */
package org.ibismoor.transport.api

import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.ServerConfig
import org.ibismoor.transport.internal.FlushingServer

fun createServer(settings: ServerSettings, handler: CallerHandler): Http4kServer = createServer(settings, {}, handler)

/** [cuts] is told of the connections that end without a whole answer. */
fun createServer(settings: ServerSettings, cuts: ConnectionCutListener, handler: CallerHandler): Http4kServer =
    FlushingServer(settings, cuts, handler)

fun createServerConfig(settings: ServerSettings): ServerConfig =
    object : ServerConfig {
        override val stopMode: ServerConfig.StopMode = ServerConfig.StopMode.Immediate

        override fun toServer(http: HttpHandler): Http4kServer = createServer(settings) { request, _ -> http(request) }
    }
