package org.ibismoor.control

import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val FIRST_PORT = 19_100
private const val LAST_PORT = 19_999
private const val POLL_INTERVAL_MILLIS = 50L

/** Much longer than any wait in these tests, so that a slow machine fails none. */
private const val TIMEOUT_SECONDS = 120L
private val lastPort = AtomicInteger(FIRST_PORT - 1)

/** Repeats [check] until its value is not null. */
internal fun <T : Any> await(what: String, check: () -> T?): T {
    val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
    var value = check()
    while (value == null) {
        check(System.nanoTime() < deadline) { "timed out after $TIMEOUT_SECONDS s while waiting for $what" }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS)
        value = check()
    }
    return value
}

internal fun awaitTrue(what: String, check: () -> Boolean) {
    await(what) { Unit.takeIf { check() } }
}

/** Chooses below the ephemeral port range, so that no outgoing connection takes the port during a restart. */
internal fun freePort(): Int =
    generateSequence { lastPort.incrementAndGet() }.takeWhile { it <= LAST_PORT }.first(::isFree)

private fun isFree(port: Int): Boolean =
    runCatching { ServerSocket().use { it.bind(InetSocketAddress("127.0.0.1", port)) } }.isSuccess
