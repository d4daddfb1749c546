/**
 * Validates the settings of a router and collects a finding with a remedy for each invalid one.
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

/** The HTTP server of the router handles at most this many concurrent requests. */
private const val MAXIMUM_IN_FLIGHT = 2_000

private const val MAXIMUM_PORT = 65_535

internal class SettingsCheck(private val command: RouterCommand) {
    var findings: List<Finding> = emptyList()
        private set

    /** The settings, or null if there are [findings]. */
    fun settings(): RouterSettings? {
        val id = checkName("--router-id", command.routerId)
        val domain = checkName("--domain", command.domain)
        val port = checkPort()
        val controlAddresses = checkControls(domain)
        val randomSeed = checkSeed()
        val limits = checkLimits()
        checkPublicUrl()
        return if (findings.isEmpty()) {
            RouterSettings(
                id = RouterId(id),
                domain = FailureDomainId(domain),
                host = host,
                port = port,
                publicUrl = command.publicUrl,
                controlAddresses = controlAddresses,
                randomSeed = randomSeed,
                limits = limits,
            )
        } else {
            null
        }
    }

    private fun checkName(flag: String, value: String?): String {
        val name = value.orEmpty()
        if (!namePattern.matches(name)) {
            addFinding(flag, "\"$name\" is not a valid name", "use lower-case letters, digits and hyphens, at most 63")
        }
        return name
    }

    private val host: String get() = command.listen.orEmpty().substringBeforeLast(':')

    private fun checkPort(): Int {
        val listen = command.listen.orEmpty()
        val number = listen.substringAfterLast(':', "").toIntOrNull()
        val port = number?.takeIf { it in 0..MAXIMUM_PORT && host.isNotEmpty() }
        if (port == null) addFinding("--listen", "\"$listen\" is not an address", "use IP:port, e.g. 10.0.0.1:8080")
        return port ?: 0
    }

    private fun checkControls(domain: String): List<ControlAddress> {
        val controls = command.controls.orEmpty().filter { it.isNotEmpty() }.mapNotNull(::parseControl)
        val names = controls.map { it.domain.text }
        if (names.size != names.toSet().size) addFinding("--control", "a domain is listed twice", "list it once")
        if (names.isNotEmpty() && names.first() != domain) {
            addFinding("--control", "the first is not of domain \"$domain\"", "list its control process first")
        }
        if (command.controls.orEmpty().none { it.isNotEmpty() }) {
            addFinding("--control", "no control process is given", "list each one as domain=url")
        }
        return controls
    }

    private fun parseControl(text: String): ControlAddress? {
        val url = text.substringAfter('=', "")
        val isValid = namePattern.matches(text.substringBefore('=')) && isUrl(url)
        if (!isValid) addFinding("--control", "\"$text\" is not domain=url", "write e.g. norte=http://10.0.0.1:7000")
        return if (isValid) ControlAddress(FailureDomainId(text.substringBefore('=')), url) else null
    }

    private fun checkPublicUrl() {
        val url = command.publicUrl ?: return
        if (!isUrl(url)) addFinding("--public-url", "\"$url\" is not a URL", "write e.g. http://10.0.0.1:8080")
    }

    private fun checkSeed(): Long {
        val text = command.seed ?: return System.nanoTime()
        val seed = text.toLongOrNull()
        if (seed == null) addFinding("--seed", "\"$text\" is not an integer", "use a 64-bit integer")
        return seed ?: 0
    }

    private fun checkLimits(): RoutingLimits {
        val text = command.inFlightPerUpstream ?: return RoutingLimits()
        val count = text.toIntOrNull()?.takeIf { it in 1..MAXIMUM_IN_FLIGHT }
        if (count == null) {
            addFinding("--in-flight-per-upstream", "\"$text\" is not a number in range", "use 1 to $MAXIMUM_IN_FLIGHT")
        }
        return RoutingLimits(inFlightPerUpstream = count ?: 1)
    }

    private fun isUrl(text: String): Boolean =
        try {
            URI(text).let { it.scheme in setOf("http", "https") && it.host != null }
        } catch (_: URISyntaxException) {
            false
        }

    private fun addFinding(flag: String, problem: String, remedy: String) {
        val variable = "IBISMOOR_" + flag.removePrefix("--").uppercase().replace('-', '_')
        findings = findings + Finding(Place("$flag ($variable)"), problem, remedy)
    }
}
