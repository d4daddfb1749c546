/**
 * Chooses ports for servers that a test starts later. All ports lie below the ephemeral range, so that no outgoing
 * connection and no server that asks for any port takes one in between.
 */
package org.ibismoor.testing

import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

private const val FIRST_PORT = 12_000
private const val LAST_PORT = 31_999

/** Test processes that run at the same time begin this many ports apart, or a multiple of it. */
private const val PORTS_OF_PROCESS = 200

private val nextPort = AtomicInteger(firstPortOf(ProcessHandle.current().pid()))

/** A port that nobody listens on; no other call in this process returns it. */
fun freePort(): Int = generateSequence { takePort() }.take(LAST_PORT - FIRST_PORT + 1).first(::isFree)

private fun takePort(): Int = nextPort.getAndUpdate { if (it == LAST_PORT) FIRST_PORT else it + 1 }

private fun firstPortOf(process: Long): Int {
    val sections = (LAST_PORT - FIRST_PORT + 1) / PORTS_OF_PROCESS
    return FIRST_PORT + (process % sections).toInt() * PORTS_OF_PROCESS
}

private fun isFree(port: Int): Boolean =
    runCatching { ServerSocket().use { it.bind(InetSocketAddress("127.0.0.1", port)) } }.isSuccess
