/**
 * Checks the settings of a router and collects every fault with its remedy.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.core.api.RouterId
import org.ibismoor.router.api.ControlAddress
import org.ibismoor.router.api.RouterSettings
import org.ibismoor.routing.api.RoutingLimits
import java.net.URI
import java.net.URISyntaxException

private val namePattern = Regex("[a-z0-9][a-z0-9-]{0,62}")

/** The server handles at most this many requests at a time. */
private const val MOST_IN_FLIGHT = 2_000

private const val LARGEST_PORT = 65_535

internal class SettingsCheck(private val command: RouterCommand) {
    var findings: List<Finding> = emptyList()
        private set

    /** The settings, or null if there are [findings]. */
    fun settings(): RouterSettings? {
        val id = name("--router-id", command.routerId)
        val domain = name("--domain", command.domain)
        val port = port()
        val controls = controls(domain)
        val seed = seed()
        val limits = limits()
        publicUrl()
        return if (findings.isEmpty()) {
            RouterSettings(
                id = RouterId(id),
                domain = FailureDomainId(domain),
                host = host,
                port = port,
                publicUrl = command.publicUrl,
                controls = controls,
                seed = seed,
                limits = limits,
            )
        } else {
            null
        }
    }

    private fun name(flag: String, value: String?): String {
        val name = value.orEmpty()
        if (!namePattern.matches(name)) {
            find(flag, "\"$name\" is no name", "give lower-case letters, digits and hyphens, at most 63")
        }
        return name
    }

    private val host: String get() = command.listen.orEmpty().substringBeforeLast(':')

    private fun port(): Int {
        val listen = command.listen.orEmpty()
        val number = listen.substringAfterLast(':', "").toIntOrNull()
        val port = number?.takeIf { it in 0..LARGEST_PORT && host.isNotEmpty() }
        if (port == null) find("--listen", "\"$listen\" is no address", "give IP number and port, as 10.0.0.1:8080")
        return port ?: 0
    }

    private fun controls(domain: String): List<ControlAddress> {
        val controls = command.controls.orEmpty().filter { it.isNotEmpty() }.mapNotNull(::control)
        val names = controls.map { it.domain.text }
        if (names.size != names.toSet().size) find("--control", "a domain is named twice", "name each domain once")
        if (names.isNotEmpty() && names.first() != domain) {
            find("--control", "the first is not of domain \"$domain\"", "name the own domain's control process first")
        }
        if (command.controls.orEmpty().none { it.isNotEmpty() }) {
            find("--control", "it is missing", "give domain=url for each control process")
        }
        return controls
    }

    private fun control(text: String): ControlAddress? {
        val url = text.substringAfter('=', "")
        val isValid = namePattern.matches(text.substringBefore('=')) && isUrl(url)
        if (!isValid) find("--control", "\"$text\" is no control process", "give it as norte=http://10.0.0.1:7000")
        return if (isValid) ControlAddress(FailureDomainId(text.substringBefore('=')), url) else null
    }

    private fun publicUrl() {
        val url = command.publicUrl ?: return
        if (!isUrl(url)) find("--public-url", "\"$url\" is no address", "give it as http://10.0.0.1:8080")
    }

    private fun seed(): Long {
        val text = command.seed ?: return System.nanoTime()
        val seed = text.toLongOrNull()
        if (seed == null) find("--seed", "\"$text\" is no number", "give a whole number")
        return seed ?: 0
    }

    private fun limits(): RoutingLimits {
        val text = command.inFlightPerUpstream ?: return RoutingLimits()
        val count = text.toIntOrNull()?.takeIf { it in 1..MOST_IN_FLIGHT }
        if (count == null) {
            find("--in-flight-per-upstream", "\"$text\" is no such number", "give a number from 1 to $MOST_IN_FLIGHT")
        }
        return RoutingLimits(inFlightPerUpstream = count ?: 1)
    }

    private fun isUrl(text: String): Boolean =
        try {
            URI(text).let { it.scheme in setOf("http", "https") && it.host != null }
        } catch (_: URISyntaxException) {
            false
        }

    private fun find(flag: String, problem: String, remedy: String) {
        val variable = "IBISMOOR_" + flag.removePrefix("--").uppercase().replace('-', '_')
        findings = findings + Finding(Place("$flag ($variable)"), problem, remedy)
    }
}
