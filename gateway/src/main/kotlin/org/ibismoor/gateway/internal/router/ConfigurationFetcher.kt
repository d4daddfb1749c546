/**
 * Fetches and parses configurations. A large document takes a while to parse, so this has a thread of its own and holds
 * up neither the traffic nor the decisions.
 */
package org.ibismoor.gateway.internal.router

import org.ibismoor.forwarding.api.ConfigurationFetchFailed
import org.ibismoor.forwarding.api.ConfigurationFetched
import org.ibismoor.forwarding.api.FetchConfiguration
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.gateway.api.CompressedText
import org.ibismoor.gateway.api.ConfigurationFormat
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.net.DocumentClient
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

private const val MAXIMUM_DOCUMENT_BYTES = 16 * 1024 * 1024

internal class ConfigurationFetcher(
    private val client: DocumentClient,
    private val controlPort: Int,
    private val format: ConfigurationFormat,
    private val post: (ForwardingMessage) -> Unit,
) {
    private val executor: ExecutorService =
        Executors.newSingleThreadExecutor { task -> Thread(task, "configurations").apply { isDaemon = true } }

    fun fetch(effect: FetchConfiguration) {
        val path = "${InternalPaths.CONFIGURATION}?version=${effect.version}"
        client.fetch("${effect.host}:$controlPort", path)
            .thenApplyAsync(::read, executor)
            .whenComplete { message, failure ->
                post(if (failure == null) message else ConfigurationFetchFailed(failureText(failure)))
            }
    }

    private fun read(document: CompressedText): ForwardingMessage =
        ConfigurationFetched(format.read(document.decompress(MAXIMUM_DOCUMENT_BYTES)))
}

/** The message of the failure that started the chain of [failure]. */
internal fun failureText(failure: Throwable): String =
    generateSequence(failure) { it.cause }.last().let { it.message ?: it.javaClass.simpleName }
