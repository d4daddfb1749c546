/**
 * Header fields of a request as the decoder adds them. Each line is charged to the memory budget before it is kept.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.TooLongHttpHeaderException
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.runtime.api.MemoryAccount

/** Heap of one header line beside its characters: its entry, two strings, and its entry in the copy of an attempt. */
internal const val HEADER_LINE_BYTES: Long = 256

/** Lines are charged in steps, since a charge for each one makes long heads expensive for the traffic thread. */
private const val CHARGE_STEP_BYTES = 4 * 1024L

/** A charge was refused, so the request cannot be read. */
internal class MemoryRefusedException : IllegalStateException("the memory for requests is used up")

internal class ChargedHeaders(private val account: MemoryAccount, private val maximumLines: Int) :
    DefaultHttpHeaders() {
    private var lines = 0
    private var usedBytes = 0L

    /** Bytes charged for the lines so far. */
    var chargedBytes: Long = 0
        private set

    override fun add(name: CharSequence, value: Any): HttpHeaders {
        charge(name, value)
        return super.add(name, value)
    }

    override fun add(name: String, value: Any): HttpHeaders {
        charge(name, value)
        return super.add(name, value)
    }

    private fun charge(name: CharSequence, value: Any) {
        if (++lines > maximumLines) throw TooLongHttpHeaderException("more than $maximumLines header lines")
        val bytes = HEADER_LINE_BYTES + name.length + ((value as? CharSequence)?.length ?: 0)
        usedBytes += bytes
        if (usedBytes <= chargedBytes) return
        val step = (usedBytes - chargedBytes).coerceAtLeast(CHARGE_STEP_BYTES)
        if (!account.charge(MemoryClass.HEADS, step)) throw MemoryRefusedException()
        chargedBytes += step
    }
}

internal class ChargedHeadersFactory(private val account: MemoryAccount, private val maximumLines: Int) :
    HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = ChargedHeaders(account, maximumLines)

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()
}

/** Trailers are counted and dropped: they are neither read nor forwarded. */
internal class DroppedTrailersFactory(private val maximumLines: Int) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = DroppedTrailers(maximumLines)

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()
}

private class DroppedTrailers(private val maximumLines: Int) : DefaultHttpHeaders() {
    private var lines = 0

    override fun add(name: CharSequence, value: Any): HttpHeaders = count()

    override fun add(name: String, value: Any): HttpHeaders = count()

    private fun count(): HttpHeaders {
        if (++lines > maximumLines) throw TooLongHttpHeaderException("more than $maximumLines trailer lines")
        return this
    }
}
