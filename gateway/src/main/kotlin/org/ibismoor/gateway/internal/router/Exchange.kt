/**
 * A request and its answer: sends attempts as the decisions say and passes the answer on. Success goes to the caller as
 * it arrives, or whole if it is short; every other end is reported, and the decisions say what follows. All functions
 * run on the traffic thread.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.CallerDisconnected
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.ReportedLoad
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.gateway.internal.net.removeHopHeaders
import java.util.Locale

private const val MILLIS_PER_SECOND = 1_000.0

@Suppress("TooManyFunctions") // one function for each effect and for each event of an attempt
internal class Exchange(
    val number: RequestNumber,
    val request: ReceivedRequest,
    private val caller: CallerSide,
    private val environment: ExchangeEnvironment,
) {
    private var attempt: Attempt? = null
    private var failure: BufferedAnswer? = null
    private val scanner by lazy { EventScanner(environment.allocator, request.fields.lastEventId) }
    private var isScanning = false
    private val beganAt = System.nanoTime()
    private var isEnded = false

    /** True once the head of an answer was written. */
    var isBegun: Boolean = false
        private set

    val events: Int get() = if (isScanning) scanner.events else 0

    fun send(effect: SendAttempt) {
        if (isEnded) return
        attempt?.end()
        if (isScanning) scanner.dropPartial()
        val lastEventId = if (isScanning) scanner.lastIdentifier else request.fields.lastEventId
        attempt = Attempt(this, effect, environment).also { it.begin(lastEventId.takeIf { isBegun }) }
    }

    fun refuse(effect: RefuseRequest) {
        if (isEnded) return
        if (isBegun) {
            caller.breakOff()
        } else {
            val status = statusOf(effect.reason, effect.outcome)
            val retryAfter = effect.retryAfterMillis
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            retryAfter?.let { headers.set(HttpHeaderNames.RETRY_AFTER, secondsOf(it)) }
            caller.answer(status, "", headers, refusalBody(effect.reason.code, effect.outcome, retryAfter))
        }
        environment.meters.refused(effect.reason, effect.outcome)
        close()
    }

    /** Gives the caller the failure that the last attempt was answered with. */
    fun giveFailure() {
        val held = failure
        if (isEnded) return
        if (held == null || isBegun) caller.breakOff() else give(held)
        close()
    }

    fun callerLeft() {
        if (isEnded) return
        val delivered = events
        close()
        environment.post(CallerDisconnected(number, delivered))
    }

    /** Lets the upstream continue after the caller has read what was written. */
    fun callerReady() {
        attempt?.pauseReading(false)
    }

    /** Ends whatever is under way. */
    fun close() {
        if (isEnded) return
        isEnded = true
        attempt?.end()
        attempt = null
        failure = null
        if (isScanning) scanner.release()
        environment.meters.ended(System.nanoTime() - beganAt)
        environment.ended(this)
    }

    internal fun answered(answer: BufferedAnswer) {
        failure = answer
    }

    /** Begins to pass a stream or a long answer on. The head of a resumed stream was written before. */
    internal fun begin(answer: BufferedAnswer) {
        if (isBegun) return
        isBegun = true
        val headers = answer.head.headers().copy().removeHopHeaders()
        headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        caller.begin(answer.head.status().code(), answer.head.status().reasonPhrase(), headers)
    }

    internal fun give(answer: BufferedAnswer) {
        val headers = answer.head.headers().copy().removeHopHeaders()
        caller.answer(answer.head.status().code(), answer.head.status().reasonPhrase(), headers, answer.toByteArray())
    }

    internal fun passOn(part: ByteBuf) {
        if (!caller.write(part)) attempt?.pauseReading(true)
    }

    internal fun scan(part: ByteBuf): ByteBuf? {
        isScanning = true
        return scanner.take(part)
    }

    internal val isInsideEvent: Boolean get() = isScanning && scanner.isInsideEvent

    internal val isEventTooLarge: Boolean get() = isScanning && scanner.isTooLarge

    internal val hasIdentifier: Boolean get() = isScanning && scanner.lastIdentifier != null

    internal fun flush() = caller.flush()

    /** Ends an answer that was begun; bytes after the last whole event belong to it. */
    internal fun endStream() {
        if (isInsideEvent) caller.write(scanner.takeRest())
        caller.end()
    }

    internal fun firstEvent(attempt: Int, load: ReportedLoad?) {
        environment.meters.firstEvent(System.nanoTime() - beganAt)
        environment.post(FirstEventArrived(number, attempt, load))
    }

    /** Reports the end of attempt number [ended]; a delivered answer ends the exchange. */
    internal fun report(ended: Int, result: AttemptResult, isDelivered: Boolean) {
        attempt = null
        if (isDelivered) close()
        environment.post(AttemptEnded(number, ended, result))
    }

    internal fun lost(cause: String): AttemptResult =
        AnswerLost(cause, events, isBegun, isResumable = isBegun && hasIdentifier)
}

internal fun failed(answer: BufferedAnswer): AttemptResult =
    AnsweredFailure(answer.head.status().code(), answer.fields.load)

/** Seconds with a decimal point in every locale. */
private fun secondsOf(millis: Long): String = "%.3f".format(Locale.ROOT, millis / MILLIS_PER_SECOND)
