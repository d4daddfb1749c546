package org.ibismoor.router

import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.transport.api.PartStream
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createServer
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

private const val PARTS = 6

/** The head of a chat answer, without content, so that a run that breaks off at its first part has answered 200. */
private const val HEAD_PART = -1
private const val REQUEST_ID = "X-Request-Id"

private const val USAGE = "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":5}"

/** Longer in total than the part of a service's answer that the router holds back. */
private const val SERVICE_PART_BYTES = 32 * 1024

/** A request that the upstream of software version [version] ran. */
class VersionedRun(val version: String, val headers: Set<String>)

/**
 * Two upstreams whose software versions write different texts, as engines and as services. [beforePart] is called with
 * the numbers of the run and of its part; if it throws an `IOException`, the answer breaks off there.
 */
class VersionedUpstreams(private val beforePart: (run: Int, part: Int) -> Unit) : AutoCloseable {
    val runs = ConcurrentLinkedQueue<VersionedRun>()

    private val runCount = AtomicInteger()
    private val servers = listOf("v1", "v2").map { version ->
        createServer(ServerSettings("127.0.0.1", 0)) { request, _ -> answer(version, request) }.start()
    }

    val ports: List<Int> = servers.map { it.port() }

    override fun close() = servers.forEach { it.stop() }

    private fun answer(version: String, request: Request): Response {
        val isChat = request.uri.path == "/v1/chat/completions"
        runs += VersionedRun(version, request.headers.map { it.first.lowercase() }.toSet())
        val stream = VersionedAnswer(isChat, version, runCount.getAndIncrement())
        return Response(Status.OK).header(REQUEST_ID, request.header(REQUEST_ID)).body(Body(stream))
    }

    private inner class VersionedAnswer(
        private val isChat: Boolean,
        private val version: String,
        private val run: Int,
    ) : PartStream() {
        private var part = if (isChat) HEAD_PART else 0

        override fun nextPart(): ByteArray? {
            if (part == PARTS) return null
            if (part != HEAD_PART) beforePart(run, part)
            val text = if (isChat) chatPart(part) else "$version ".repeat(SERVICE_PART_BYTES / (version.length + 1))
            part++
            return text.toByteArray()
        }

        private fun chatPart(part: Int): String =
            when (part) {
                HEAD_PART -> ": head\n\n"
                in 0 until PARTS - 1 -> event(choice("{\"content\":\"$version-$part \"}", "null"))
                else -> event(choice("{}", "\"stop\"")) + event("{\"choices\":[],$USAGE}") + event("[DONE]")
            }

        private fun choice(delta: String, finishReason: String): String =
            "{\"choices\":[{\"index\":0,\"delta\":$delta,\"finish_reason\":$finishReason}]}"

        private fun event(data: String): String = "data: $data\n\n"
    }
}
