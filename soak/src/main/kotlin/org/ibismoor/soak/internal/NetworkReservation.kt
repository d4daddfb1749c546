/**
 * Reserves a part of the loopback addresses for one soak, so that soaks can run at the same time.
 */
package org.ibismoor.soak.internal

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

private const val RESERVATION_PORT = 18_000
private const val NETWORKS = 250

/** Holds `127.<number>` until it is closed. */
internal class NetworkReservation(val number: Int, private val socket: ServerSocket) : AutoCloseable by socket

/** Throws `IOException` if all are in use. */
internal fun reserveNetwork(): NetworkReservation {
    val first = ProcessHandle.current().pid() % NETWORKS
    return (1..NETWORKS).asSequence().map { ((first + it) % NETWORKS).toInt() + 1 }.firstNotNullOfOrNull(::tryReserve)
        ?: throw IOException("all loopback networks from 127.1 to 127.$NETWORKS are in use")
}

private fun tryReserve(number: Int): NetworkReservation? {
    val socket = ServerSocket()
    return try {
        socket.bind(InetSocketAddress(InetAddress.getByName("127.$number.0.1"), RESERVATION_PORT))
        NetworkReservation(number, socket)
    } catch (_: IOException) {
        socket.close()
        null
    }
}
