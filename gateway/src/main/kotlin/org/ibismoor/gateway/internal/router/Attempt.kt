/**
 * One attempt at an upstream. It recognises its answer by the echoed request identifier. If the upstream sends nothing
 * within the times of the attempt's terms it is reported as silent; that does not end the attempt.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.AvailabilityAnnounced
import org.ibismoor.forwarding.api.ColdAnnounced
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.gateway.api.AnswerFields
import org.ibismoor.gateway.internal.net.AnswerListener
import org.ibismoor.gateway.internal.net.HttpCall
import org.ibismoor.gateway.internal.net.PendingCall
import org.ibismoor.gateway.internal.net.hasStatusLine
import org.ibismoor.gateway.internal.net.removeHopByHopHeaders
import java.util.concurrent.TimeUnit

private const val EVENT_STREAM = "text/event-stream"
private const val SECOND_ANSWER = "second_answer"
private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECT = 300

/**
 * Statuses that callers take as a sign that a request has not run. An upstream's answer with one of them that does not
 * itself state so is not forwarded: the request may have run, and the caller would repeat it.
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
    private val eventLoop = environment.eventLoop
    private var call: PendingCall? = null
    private var answer: BufferedAnswer? = null
    private var mode = Mode.BUFFERED
    private var isEnded = false
    private var hasForwarded = false

    /** When the last part of the answer was received. In a stream, only whole events count. */
    private var lastReceivedAt = System.nanoTime()
    private var isReadingPaused = false
    private var silenceCheck: ScheduledFuture<*>? = null

    val number: Int get() = effect.attempt

    /** False while its connection is being opened. */
    val isSent: Boolean get() = call?.isSent == true

    /** True from a report of its silence until the upstream goes on. */
    var isSilent: Boolean = false
        private set

    /** How the body is forwarded: buffered as a whole, event by event, or in chunks as it arrives. */
    private enum class Mode { BUFFERED, EVENTS, CHUNKS }

    fun start(lastEventId: Long?) {
        val request = exchange.request
        val headers = request.headers.copy().removeHopByHopHeaders()
        try {
            environment.dialect.writeAttemptFields(effect.upstream, effect.terms, headers)
        } catch (_: IllegalArgumentException) {
            return finish(NotSent("unsendable_request"), isDelivered = false)
        }
        if (lastEventId != null) environment.dialect.requestEventsAfter(lastEventId, headers)
        if (request.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) headers.set(HttpHeaderNames.CONTENT_LENGTH, 0)
        val attemptCall = HttpCall(effect.upstream.address, request.method, request.uri, headers, request.body)
        watchSilence(effect.terms.firstAnswerTimeoutMillis)
        call = environment.pool.send(attemptCall, this)
        if (isEnded) call?.cancel()
    }

    /** Cancels the attempt without reporting a result. */
    fun cancel() {
        if (isEnded) return
        isEnded = true
        silenceCheck?.cancel(false)
        call?.cancel()
    }

    /** While reading is paused for a slow caller, nothing can be received; that is no silence of the upstream. */
    fun pauseReading(isPaused: Boolean) {
        isReadingPaused = isPaused
        lastReceivedAt = System.nanoTime()
        call?.pauseReading(isPaused)
    }

    /** Watches for [newLimitMillis] without an answer or event; null ends the watch. */
    private fun watchSilence(newLimitMillis: Long?) {
        silenceCheck?.cancel(false)
        val limitMillis = newLimitMillis ?: return
        lastReceivedAt = System.nanoTime()
        scheduleSilenceCheck(limitMillis, limitMillis)
    }

    private fun scheduleSilenceCheck(delayMillis: Long, limitMillis: Long) {
        silenceCheck = eventLoop.schedule({ checkSilence(limitMillis) }, delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun checkSilence(limitMillis: Long) {
        if (isEnded) return
        val idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReceivedAt)
        if (isReadingPaused) {
            scheduleSilenceCheck(limitMillis, limitMillis)
        } else if (idleMillis >= limitMillis) {
            val isNew = !isSilent
            isSilent = true
            exchange.reportSilence(this, isNew)
            scheduleSilenceCheck(limitMillis, limitMillis)
        } else {
            scheduleSilenceCheck(limitMillis - idleMillis, limitMillis)
        }
    }

    /** The upstream has sent a part of its answer. */
    private fun markReceived() {
        lastReceivedAt = System.nanoTime()
        isSilent = false
    }

    /** The upstream goes on, if only with a part of an event. */
    fun endSilence() {
        isSilent = false
    }

    override fun onHead(head: HttpResponse): Boolean {
        val fields = environment.dialect.readAnswerFields(head.status().code(), head.headers())
        val isIdentified = fields.callId == exchange.request.fields.callId
        if (!isIdentified && belongsToOtherRequest(fields)) return false
        if (isIdentified && !fields.isOtherUpstream) announceAvailability(head, fields)
        answer = BufferedAnswer(head, fields)
        val isSuccess = head.status().code() in FIRST_SUCCESS until FIRST_REDIRECT
        val isStream = head.headers().get(HttpHeaderNames.CONTENT_TYPE)?.startsWith(EVENT_STREAM) == true
        mode = if (isSuccess && isStream && fields.isMarked) Mode.EVENTS else Mode.BUFFERED
        if (!isIdentified) fail("unidentified_answer")
        return true
    }

    /** Also heard in the head of a stream, since the stream may last longer than the upstream's drain. */
    private fun announceAvailability(head: HttpResponse, fields: AnswerFields) {
        val pause = requestedPauseOf(head)
        if (pause == RequestedPause.Malformed) environment.meters.countMalformedPause()
        val pauseMillis = (pause as? RequestedPause.Pause)?.millis
        if (fields.isLeaving || pauseMillis != null) {
            environment.post(AvailabilityAnnounced(effect.upstream.id, fields.isLeaving, pauseMillis))
        }
        fields.coldMillis?.let { environment.post(ColdAnnounced(effect.upstream.id, it)) }
    }

    /**
     * Upstreams identify the answers that they compute and their refusals. One that is not identified as the answer to
     * this request can be an earlier answer that was written again, so it says nothing about this request.
     */
    private fun belongsToOtherRequest(fields: AnswerFields): Boolean =
        fields.callId != null || fields.isMarked || fields.isNotExecuted

    override fun onBody(part: ByteBuf) {
        val current = answer
        if (isEnded || current == null) return
        // A refusal or a failure with a body does not go on: the other attempt, if there is one, may still succeed.
        val isSuccess = mode != Mode.BUFFERED || isDeliverable(current)
        if (isSuccess && (isSilent || mode == Mode.EVENTS)) exchange.choose(this)
        if (isSuccess && mode != Mode.EVENTS) markReceived()
        when (mode) {
            Mode.EVENTS -> forwardEvents(current, part)
            Mode.CHUNKS -> forward(part.retain())
            Mode.BUFFERED -> {
                current.add(part)
                val hasRoom = exchange.chargeAnswer(part.readableBytes())
                if (!hasRoom || current.size > maximumBufferedBytes(current)) startForwarding(current)
            }
        }
    }

    private fun forwardEvents(current: BufferedAnswer, part: ByteBuf) {
        val events = exchange.takeEvents(part, current.isChunked)
        if (exchange.isEventTooLarge) return fail("event_too_large")
        if (events != null) forwardWholeEvents(current, events)
        if (exchange.hasForeignAnswer) fail(SECOND_ANSWER)
    }

    private fun forwardWholeEvents(current: BufferedAnswer, events: ByteBuf) {
        markReceived()
        val isFirst = !hasForwarded
        exchange.startAnswer(current)
        forward(events)
        if (isFirst) {
            exchange.reportFirstEvent(effect.attempt, current.fields.load)
            watchSilence(effect.terms.stallTimeoutMillis)
        }
    }

    private fun maximumBufferedBytes(current: BufferedAnswer): Int =
        if (isDeliverable(current)) BUFFERED_ANSWER_BYTES else FAILED_ANSWER_BYTES

    private fun startForwarding(current: BufferedAnswer) {
        if (current.fields.isNotExecuted) return endRefused(current)
        if (!isDeliverable(current) || exchange.isAnswerStarted) return fail("answer_too_large")
        mode = Mode.CHUNKS
        exchange.choose(this)
        exchange.startAnswer(current)
        forward(Unpooled.wrappedBuffer(current.toByteArray()))
    }

    /** A refusal holds whatever its body is, so the rest of a long one is not awaited. */
    private fun endRefused(current: BufferedAnswer) {
        call?.cancel()
        finishBuffered(current)
    }

    private fun forward(part: ByteBuf) {
        hasForwarded = true
        exchange.forward(part)
    }

    override fun onReadComplete() {
        if (hasForwarded && !isEnded) exchange.flush()
    }

    override fun onEnd() {
        val current = answer
        when {
            isEnded -> Unit
            current == null -> fail("closed")
            mode == Mode.BUFFERED -> finishBuffered(current)
            exchange.isInsideEvent -> fail("cut_event")
            else -> {
                exchange.choose(this)
                exchange.startAnswer(current)
                exchange.endAnswer()
                finish(Delivered(exchange.eventCount, current.fields.load), isDelivered = true)
            }
        }
    }

    private fun finishBuffered(current: BufferedAnswer) {
        val status = current.head.status().code()
        when {
            current.fields.isNotExecuted ->
                finish(NotExecuted(status, current.fields.isOtherUpstream, current.fields.load), isDelivered = false)
            !current.isDelimited && hasStatusLine(current.text()) -> fail(SECOND_ANSWER)
            isDeliverable(current) && !exchange.isAnswerStarted -> {
                exchange.choose(this)
                exchange.sendAnswer(current)
                finish(Delivered(0, current.fields.load), isDelivered = true)
            }
            status in FIRST_SUCCESS until FIRST_REDIRECT -> fail("unmarked_answer")
            current.head.status() in NOT_RUN_STATUSES -> fail("unfounded_status_$status")
            else -> {
                exchange.holdFailure(current)
                finish(answeredFailure(current), isDelivered = false)
            }
        }
    }

    /** A success without the mark of computed answers was not produced by the upstream, so it is not forwarded. */
    private fun isDeliverable(current: BufferedAnswer): Boolean =
        current.head.status().code() in FIRST_SUCCESS until FIRST_REDIRECT && current.fields.isMarked

    override fun onFailure(cause: String, isSent: Boolean) {
        when {
            isEnded -> Unit
            isSent -> fail(cause)
            else -> finish(NotSent(cause), isDelivered = false)
        }
    }

    private fun fail(cause: String) {
        call?.cancel()
        if (hasForwarded) exchange.flush()
        finish(exchange.lostAnswer(cause), isDelivered = false)
    }

    private fun finish(result: AttemptResult, isDelivered: Boolean) {
        if (isEnded) return
        isEnded = true
        silenceCheck?.cancel(false)
        call?.markEnded()
        exchange.endAttempt(this, result, isDelivered)
    }
}
