/**
 * The setting types shared by all programs.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import java.net.URI
import java.net.URISyntaxException
import java.nio.file.InvalidPathException
import java.nio.file.Path

private const val MAXIMUM_PORT = 65_535
private const val MAXIMUM_NAME_CHARACTERS = 64
private val WHOLE_NUMBER = Regex("0|[1-9][0-9]{0,17}")
private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]*")
private val FAILURE_DOMAIN = Regex("[a-z0-9][a-z0-9-]*")

object SettingTypes {
    val text: SettingType<String> = settingType("a non-empty text") { it.takeIf(String::isNotBlank) }

    val name: SettingType<String> =
        settingType("a name of at most $MAXIMUM_NAME_CHARACTERS letters, digits, dots, dashes and underscores") {
            it.takeIf { name -> name.length <= MAXIMUM_NAME_CHARACTERS && NAME.matches(name) }
        }

    val failureDomain: SettingType<FailureDomainId> =
        settingType("a failure domain of lower-case letters, digits and dashes") { text ->
            text.takeIf { it.length <= MAXIMUM_NAME_CHARACTERS && FAILURE_DOMAIN.matches(it) }?.let(::FailureDomainId)
        }

    val replica: SettingType<ReplicaId> =
        settingType("a failure domain and an epoch from 1 on, such as norte-1.1") { text ->
            ReplicaId.parse(text)?.takeIf { FAILURE_DOMAIN.matches(it.domain.text) && it.toString() == text }
        }

    val boolean: SettingType<Boolean> = settingType("true or false", String::toBooleanStrictOrNull)

    val folder: SettingType<Path> = settingType("a folder", ::parsePath)

    val file: SettingType<Path> = settingType("a file", ::parsePath)

    val baseUrl: SettingType<String> =
        settingType("a URL of the form http://<IP address>:<port>") { it.takeIf(::isBaseUrl) }

    /** IP address and port to listen on; port 0 selects a free port. */
    val listenAddress: SettingType<ListenAddress> =
        settingType("<IP address>:<port> with a port from 0 to $MAXIMUM_PORT", ::parseListenAddress)

    fun wholeNumber(range: LongRange): SettingType<Long> =
        settingType("a whole number from ${range.first} to ${range.last}") { text ->
            text.takeIf(WHOLE_NUMBER::matches)?.toLong()?.takeIf { it in range }
        }

    /** A comma-separated list of values. */
    fun <T : Any> listOf(item: SettingType<T>): SettingType<List<T>> =
        settingType("a comma-separated list of ${item.description}") { text ->
            val values = text.split(',').map { item.parse(it.trim()) }
            values.filterNotNull().takeIf { it.size == values.size }
        }
}

private fun <T : Any> settingType(description: String, parse: (String) -> T?): SettingType<T> =
    object : SettingType<T> {
        override val description: String = description

        override fun parse(text: String): T? = parse(text)
    }

private fun parsePath(text: String): Path? =
    try {
        text.takeIf(String::isNotBlank)?.let(Path::of)
    } catch (_: InvalidPathException) {
        null
    }

private fun isBaseUrl(text: String): Boolean =
    try {
        val uri = URI(text)
        uri.scheme in setOf("http", "https") && uri.port in 1..MAXIMUM_PORT && !uri.host.isNullOrEmpty() &&
            text == "${uri.scheme}://${uri.host}:${uri.port}"
    } catch (_: URISyntaxException) {
        false
    }

private fun parseListenAddress(text: String): ListenAddress? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').takeIf(WHOLE_NUMBER::matches)?.toLong()
    return if (host.isNotBlank() && port != null && port <= MAXIMUM_PORT) ListenAddress(host, port.toInt()) else null
}
