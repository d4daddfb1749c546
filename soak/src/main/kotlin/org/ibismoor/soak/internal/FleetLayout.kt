/**
 * Hosts, ports and names of a soak. Each VM, upstream and the upstream list has a public host, where the proxy listens,
 * and a private one, where the process itself listens and from which it connects.
 */
package org.ibismoor.soak.internal

import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.platform.api.PlatformPorts

private const val CONTROL_VMS = 3
private const val DOMAINS = 3
private const val FIRST_UPSTREAM_HOST = 101
private const val LIST_HOST = 200
private const val CALLER_HOST = 201
private const val UPSTREAM_PORT = 18_080
private const val LIST_PORT = 18_223

internal val FLEET_PORTS =
    PlatformPorts(callers = 18_227, readiness = 18_220, directory = 18_224, control = 18_229, internal = 18_340)

/** Names of the hosts on which callers and the upstream list are. */
internal const val CALLER_HOST_NAME = "callers"
internal const val LIST_HOST_NAME = "list"

internal val SERVICE_GROUP = UpstreamGroupId("service")
internal val ENGINE_GROUP = UpstreamGroupId("engine")

/** A place at which one upstream after the other runs. */
internal data class UpstreamSlot(val slot: String, val host: Int, val group: UpstreamGroupId, val domain: String)

/** One service that forwards connections from its public to its private address. */
internal data class Endpoint(val hostName: String, val publicHost: String, val privateHost: String, val port: Int)

/** [network] is the second number of all addresses, by which soaks that run at the same time differ. */
internal data class FleetLayout(val network: Int, val routers: Int, val services: Int = 3, val engines: Int = 3) {
    val vms: List<Int> = (1..routers).toList()
    val controlVms: List<Int> = vms.take(CONTROL_VMS)
    val upstreams: List<UpstreamSlot> =
        (1..services).map { upstream("service-$it", it, SERVICE_GROUP) } +
            (1..engines).map { upstream("engine-$it", services + it, ENGINE_GROUP) }
    val controlHosts: List<String> = controlVms.map(::publicHost)
    val callerHost: String = privateHost(CALLER_HOST)
    val domains: List<String> = vms.map(::domainOf).distinct()

    fun publicHost(host: Int): String = "127.$network.$host.1"

    fun privateHost(host: Int): String = "127.$network.$host.2"

    fun domainOf(vm: Int): String = "domain-${(vm - 1) % DOMAINS + 1}"

    /** Address under which the list names the upstream at [slot]. */
    fun addressOf(slot: UpstreamSlot): String = "${publicHost(slot.host)}:$UPSTREAM_PORT"

    val listEndpoint: Endpoint get() = endpoint(LIST_HOST_NAME, LIST_HOST, LIST_PORT)

    fun endpointOf(slot: UpstreamSlot): Endpoint = endpoint(slot.slot, slot.host, UPSTREAM_PORT)

    val endpoints: List<Endpoint>
        get() = vms.flatMap { vm -> vmPorts(vm).map { endpoint(vmName(vm), vm, it) } } +
            upstreams.map(::endpointOf) + listEndpoint

    private fun vmPorts(vm: Int): List<Int> {
        val router = with(FLEET_PORTS) { listOf(callers, readiness, directory, internal + 1) }
        return if (vm in controlVms) router + FLEET_PORTS.control + FLEET_PORTS.internal else router
    }

    private fun endpoint(name: String, host: Int, port: Int): Endpoint =
        Endpoint(name, publicHost(host), privateHost(host), port)

    /** Name of the host whose private address is [address]; null if it is none of this soak. */
    fun hostNameOf(address: String): String? = hostNames[address]

    private val hostNames: Map<String, String> =
        vms.associate { privateHost(it) to vmName(it) } + (callerHost to CALLER_HOST_NAME)

    private fun upstream(name: String, number: Int, group: UpstreamGroupId): UpstreamSlot =
        UpstreamSlot(name, FIRST_UPSTREAM_HOST + number, group, "domain-${(number - 1) % DOMAINS + 1}")
}

internal fun vmName(vm: Int): String = "vm-$vm"

internal fun routerName(vm: Int): String = "router-$vm"

internal fun controlName(vm: Int): String = "control-$vm"

internal fun FleetLayout.isControl(process: String): Boolean = controlVms.any { controlName(it) == process }
