package org.ibismoor.control

import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val FIRST_PORT = 19_100
private const val LAST_PORT = 19_999
private const val PAUSE_MILLIS = 50L

/** Far longer than anything here takes, so that a slow machine changes no verdict. */
private const val LIMIT_SECONDS = 120L
private val lastPort = AtomicInteger(FIRST_PORT - 1)

/** The first value of [check] that is not null. */
internal fun <T : Any> await(what: String, check: () -> T?): T {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS)
    var value = check()
    while (value == null) {
        check(System.nanoTime() < end) { "gave up waiting for $what" }
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS)
        value = check()
    }
    return value
}

internal fun awaitTrue(what: String, check: () -> Boolean) {
    await(what) { Unit.takeIf { check() } }
}

/** A free port below those that the system gives to outgoing connections, so that a restart finds it free. */
internal fun freePort(): Int =
    generateSequence { lastPort.incrementAndGet() }.takeWhile { it <= LAST_PORT }.first(::isFree)

private fun isFree(port: Int): Boolean =
    runCatching { ServerSocket().use { it.bind(InetSocketAddress("127.0.0.1", port)) } }.isSuccess
