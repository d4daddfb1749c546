/**
 * HTTP server based on Undertow. Event threads read headers and bodies; one worker thread per request runs the handler
 * and writes its answer.
 */
package org.ibismoor.transport.internal

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.handlers.GracefulShutdownHandler
import org.http4k.server.Http4kServer
import org.ibismoor.transport.api.CallerHandler
import org.ibismoor.transport.api.ConnectionCutListener
import org.ibismoor.transport.api.ServerSettings
import java.net.InetSocketAddress
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

private const val IDLE_THREAD_SECONDS = 30L
private const val EVENT_THREADS = 2
private const val MINIMUM_WORKER_THREADS = 1

internal class FlushingServer(
    private val settings: ServerSettings,
    cuts: ConnectionCutListener,
    handler: CallerHandler,
) : Http4kServer {
    private val workers =
        ThreadPoolExecutor(
            MINIMUM_WORKER_THREADS,
            settings.maximumRequests,
            IDLE_THREAD_SECONDS,
            TimeUnit.SECONDS,
            SynchronousQueue(),
        )
    private val shutdown = GracefulShutdownHandler(BodyReader(settings.limits, workers, cuts, handler))
    private val undertow = build()

    override fun start(): Http4kServer = apply { undertow.start() }

    override fun stop(): Http4kServer =
        apply {
            shutdown.shutdown()
            shutdown.awaitShutdown(settings.stopTimeoutMillis)
            undertow.stop()
            workers.shutdownNow()
        }

    override fun port(): Int = (undertow.listenerInfo.first().address as InetSocketAddress).port

    private fun build(): Undertow =
        Undertow.builder()
            .addHttpListener(settings.port, settings.host)
            .setIoThreads(EVENT_THREADS)
            .setWorkerThreads(MINIMUM_WORKER_THREADS)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, settings.limits.headerBytes)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, settings.limits.headerTimeoutMillis)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, settings.limits.idleTimeoutMillis)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setHandler(shutdown)
            .build()
}
