/**
 * One attempt at an upstream. It tells the answer to this request from others by the echoed identifier, and it is given
 * up if the upstream is silent for longer than the decisions allow.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.gateway.internal.net.AnswerListener
import org.ibismoor.gateway.internal.net.HttpCall
import org.ibismoor.gateway.internal.net.PendingCall
import org.ibismoor.gateway.internal.net.removeHopHeaders
import java.util.concurrent.TimeUnit

private const val EVENT_STREAM = "text/event-stream"
private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECT = 300

/**
 * Statuses by which callers understand that a request has not run. An upstream's answer with one of them that does not
 * say so itself is not passed on, since the request may have run.
 */
private val NOT_RUN_STATUSES = setOf(
    HttpResponseStatus.REQUEST_TIMEOUT,
    HttpResponseStatus.MISDIRECTED_REQUEST,
    HttpResponseStatus.TOO_MANY_REQUESTS,
    HttpResponseStatus.SERVICE_UNAVAILABLE,
)

@Suppress("TooManyFunctions") // one function for each event of an answer
internal class Attempt(
    private val exchange: Exchange,
    private val effect: SendAttempt,
    private val environment: ExchangeEnvironment,
) : AnswerListener {
    private var call: PendingCall? = null
    private var answer: BufferedAnswer? = null
    private var mode = Mode.WHOLE
    private var isEnded = false
    private var hasWritten = false
    private var heardAt = System.nanoTime()
    private var watch: ScheduledFuture<*>? = null

    /** How the body is passed on. */
    private enum class Mode { WHOLE, EVENTS, PARTS }

    fun begin(lastEventId: Long?) {
        val request = exchange.request
        val headers = request.headers.copy().removeHopHeaders()
        environment.dialect.writeAttemptFields(effect.upstream, effect.terms, headers)
        if (lastEventId != null) environment.dialect.requestEventsAfter(lastEventId, headers)
        if (request.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) headers.set(HttpHeaderNames.CONTENT_LENGTH, 0)
        val sent = HttpCall(effect.upstream.address, request.method, request.uri, headers, request.body)
        watchFor(effect.terms.firstAnswerTimeoutMillis)
        call = environment.pool.send(sent, this)
        if (isEnded) call?.abandon()
    }

    /** Ends the attempt without a report. */
    fun end() {
        if (isEnded) return
        isEnded = true
        watch?.cancel(false)
        call?.abandon()
    }

    fun pauseReading(isPaused: Boolean) {
        call?.pauseReading(isPaused)
    }

    private fun watchFor(patienceMillis: Long?) {
        watch?.cancel(false)
        val patience = patienceMillis ?: return
        heardAt = System.nanoTime()
        watch = environment.traffic.schedule({ checkSilence(patience) }, patience, TimeUnit.MILLISECONDS)
    }

    private fun checkSilence(patience: Long) {
        if (isEnded) return
        val silent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heardAt)
        if (silent >= patience) {
            call?.abandon()
            finish(exchange.lost("silent"), isDelivered = false)
        } else {
            watch = environment.traffic.schedule({ checkSilence(patience) }, patience - silent, TimeUnit.MILLISECONDS)
        }
    }

    override fun onHead(head: HttpResponse): Boolean {
        val fields = environment.dialect.readAnswerFields(head.status().code(), head.headers())
        val isOwn = fields.callId == exchange.request.fields.callId || fields.callId == null && !fields.isMarked
        if (!isOwn) return false
        answer = BufferedAnswer(head, fields)
        val isSuccess = head.status().code() in FIRST_SUCCESS until FIRST_REDIRECT
        val isStream = head.headers().get(HttpHeaderNames.CONTENT_TYPE)?.startsWith(EVENT_STREAM) == true
        mode = if (isSuccess && isStream && fields.isMarked) Mode.EVENTS else Mode.WHOLE
        return true
    }

    override fun onBody(part: ByteBuf) {
        val current = answer
        if (isEnded || current == null) return
        heardAt = System.nanoTime()
        when (mode) {
            Mode.EVENTS -> passEvents(current, part)
            Mode.PARTS -> write(part.retain())
            Mode.WHOLE -> {
                current.add(part)
                if (current.size > BUFFERED_ANSWER_BYTES) passParts(current)
            }
        }
    }

    private fun passEvents(current: BufferedAnswer, part: ByteBuf) {
        val events = exchange.scan(part)
        if (exchange.isEventTooLarge) return broken("event_too_large")
        if (events == null) return
        val isFirst = !hasWritten
        exchange.begin(current)
        write(events)
        if (isFirst) {
            exchange.firstEvent(effect.attempt, current.fields.load)
            watchFor(effect.terms.stallTimeoutMillis)
        }
    }

    private fun passParts(current: BufferedAnswer) {
        if (!isDeliverable(current)) return broken("answer_too_large")
        mode = Mode.PARTS
        exchange.begin(current)
        write(Unpooled.wrappedBuffer(current.toByteArray()))
    }

    private fun write(part: ByteBuf) {
        hasWritten = true
        exchange.passOn(part)
    }

    override fun onPause() {
        if (hasWritten && !isEnded) exchange.flush()
    }

    override fun onEnd() {
        val current = answer
        when {
            isEnded -> Unit
            current == null -> broken("closed")
            mode == Mode.WHOLE -> finishWhole(current)
            exchange.isInsideEvent && !current.isFramed -> broken("cut_event")
            else -> {
                exchange.begin(current)
                exchange.endStream()
                finish(Delivered(exchange.events, current.fields.load), isDelivered = true)
            }
        }
    }

    private fun finishWhole(current: BufferedAnswer) {
        val status = current.head.status().code()
        when {
            current.fields.isNotExecuted ->
                finish(NotExecuted(status, current.fields.isOtherUpstream, current.fields.load), isDelivered = false)
            isDeliverable(current) && !exchange.isBegun -> {
                exchange.give(current)
                finish(Delivered(0, current.fields.load), isDelivered = true)
            }
            status in FIRST_SUCCESS until FIRST_REDIRECT -> broken("unmarked_answer")
            current.head.status() in NOT_RUN_STATUSES -> broken("unfounded_status_$status")
            else -> {
                exchange.answered(current)
                finish(failed(current), isDelivered = false)
            }
        }
    }

    /** A success without the upstream's mark is no answer that it computed. */
    private fun isDeliverable(current: BufferedAnswer): Boolean =
        current.head.status().code() in FIRST_SUCCESS until FIRST_REDIRECT && current.fields.isMarked

    override fun onBroken(cause: String, isSent: Boolean) {
        when {
            isEnded -> Unit
            isSent -> broken(cause)
            else -> finish(NotSent(cause), isDelivered = false)
        }
    }

    private fun broken(cause: String) {
        call?.abandon()
        if (hasWritten) exchange.flush()
        finish(exchange.lost(cause), isDelivered = false)
    }

    private fun finish(result: AttemptResult, isDelivered: Boolean) {
        if (isEnded) return
        isEnded = true
        watch?.cancel(false)
        call?.finish()
        exchange.report(effect.attempt, result, isDelivered)
    }
}
