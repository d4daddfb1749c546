/**
 * A request and its answer. It sends attempts as the control thread decides and forwards a successful answer as it
 * arrives, or when complete if it is short. Any other result is reported to the control thread, which decides what
 * follows. All functions run on the traffic thread.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.AttemptResumed
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.CallerDisconnected
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.ReportedLoad
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.gateway.internal.net.removeHopByHopHeaders
import java.util.Locale
import java.util.concurrent.TimeUnit

private const val MILLIS_PER_SECOND = 1_000.0

/** Age of a request from which callers may have left before its attempt starts. */
private const val LATE_ATTEMPT_MILLIS = 100L

/** Shorter than the time for which two upstreams may work on one request that one has taken over from the other. */
private const val SILENT_OVERLAP_MILLIS = 300L

/** A scheduled task runs after the event loop has read what has arrived before it was due. */
private const val READ_PASS_MILLIS = 1L

@Suppress("TooManyFunctions") // one function for each effect and for each event of an attempt
internal class Exchange(
    val number: RequestNumber,
    val request: ReceivedRequest,
    private val output: AnswerSink,
    private val environment: ExchangeEnvironment,
) {
    private var attempt: Attempt? = null

    /** A silent attempt that goes on beside [attempt], until either of them has an answer. */
    private var silentAttempt: Attempt? = null

    /** Silences so far. One that goes on is reported several times with the same number. */
    private var silences = 0
    private var failedAnswer: BufferedAnswer? = null
    private val scanner by lazy { EventScanner(environment.allocator, request.fields.lastEventId) }
    private var isScanning = false
    private val startedAt = System.nanoTime()
    private var isEnded = false
    private var lastUpstream: UpstreamId? = null

    /** True once the head of a chunked answer was written. */
    var isAnswerStarted: Boolean = false
        private set

    val eventCount: Int get() = if (isScanning) scanner.eventCount else 0

    /**
     * After a stall of the process, the close of the caller's connection may already wait behind its request. A late
     * attempt therefore starts after the traffic thread has read all connections once more.
     */
    fun send(effect: SendAttempt) {
        if (isEnded) return
        val ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)
        if (ageMillis < LATE_ATTEMPT_MILLIS) {
            startAttempt(effect)
        } else {
            environment.eventLoop.schedule({ startAttempt(effect) }, READ_PASS_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun startAttempt(effect: SendAttempt) {
        val current = attempt
        if (isEnded || current != null && !isStillSilent(current, effect)) return
        if (current == null) dropPartialEvent()
        val lastEventId = if (isScanning) scanner.lastEventId else request.fields.lastEventId
        lastUpstream = effect.upstream.id
        val next = Attempt(this, effect, environment)
        attempt = next
        if (current != null) keepSilent(current, next)
        next.start(lastEventId.takeIf { isAnswerStarted })
    }

    /** False if [current] has gone on since the silence for which the control thread has decided on [effect]. */
    private fun isStillSilent(current: Attempt, effect: SendAttempt): Boolean =
        current.isSilent && effect.silence == silences

    private fun keepSilent(silent: Attempt, later: Attempt) {
        silentAttempt = silent
        limitOverlap(silent, later)
    }

    /**
     * Two upstreams work on the request only for a short time; one that refuses it does so at once. While the
     * connection of [later] is being opened only the silent upstream has the request.
     */
    private fun limitOverlap(silent: Attempt, later: Attempt) {
        val end = Runnable {
            when {
                later !== attempt -> Unit
                later.isSent -> endSilent(silent)
                else -> limitOverlap(silent, later)
            }
        }
        environment.eventLoop.schedule(end, SILENT_OVERLAP_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun endSilent(silent: Attempt) {
        if (silentAttempt !== silent) return
        silentAttempt = null
        silent.cancel()
        dropPartialEvent()
        environment.post(AttemptEnded(number, silent.number, lostAnswer("silent")))
    }

    private fun dropPartialEvent() {
        if (isScanning) scanner.dropPartialEvent()
    }

    /** Reports that [silent] has received nothing for too long, once more unless [isNew]. */
    internal fun reportSilence(silent: Attempt, isNew: Boolean) {
        if (isNew) silences++
        if (silent !== attempt || silentAttempt != null) return
        val isResumable = !isAnswerStarted || hasEventId
        environment.post(AttemptSilent(number, silent.number, silences, isResumable))
    }

    /** The answer comes from [chosen]; the other attempt, if there is one, ends. */
    internal fun choose(chosen: Attempt) {
        val silent = silentAttempt
        if (chosen === attempt && silent != null) endSilent(silent)
        if (!chosen.isSilent) return
        chosen.endSilence()
        if (chosen === silent) {
            attempt?.cancel()
            attempt = chosen
            silentAttempt = null
        }
        environment.post(AttemptResumed(number, chosen.number))
    }

    fun refuse(effect: RefuseRequest) {
        if (isEnded) return
        if (isAnswerStarted) {
            recordCut(CutCause.REFUSED_AFTER_START, effect.reason.code)
            output.abort()
        } else {
            val status = statusOf(effect.reason, effect.outcome)
            val retryAfter = effect.retryAfterMillis
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            retryAfter?.let { headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(it)) }
            output.sendAnswer(status, "", headers, refusalBody(effect.reason.code, effect.outcome, retryAfter))
        }
        environment.meters.countRefusal(effect.reason, effect.outcome)
        close()
    }

    /** Sends the caller the failure with which the upstream answered the last attempt. */
    fun forwardFailure() {
        val heldFailure = failedAnswer
        if (isEnded) return
        if (heldFailure == null || isAnswerStarted) {
            recordCut(CutCause.FAILED_AFTER_START)
            output.abort()
        } else {
            sendAnswer(heldFailure)
        }
        close()
    }

    fun handleCallerDisconnect(cause: CutCause, detail: String? = null) {
        if (isEnded) return
        recordCut(cause, detail)
        val delivered = eventCount
        close()
        environment.post(CallerDisconnected(number, delivered))
    }

    /** Records that the caller's connection ends, or has ended, without the whole answer. */
    fun recordCut(cause: CutCause, detail: String? = null) {
        val ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)
        val events = eventCount
        environment.cuts.record(CutAnswer(cause, detail, request.fields.callId, lastUpstream, events, ageMillis))
    }

    /** Resumes reading from the upstream once the caller's connection is writable again. */
    fun resumeReading() {
        attempt?.pauseReading(false)
        silentAttempt?.pauseReading(false)
    }

    /** Cancels the current attempt and releases the buffers. */
    fun close() {
        if (isEnded) return
        isEnded = true
        attempt?.cancel()
        silentAttempt?.cancel()
        attempt = null
        silentAttempt = null
        failedAnswer = null
        if (isScanning) scanner.release()
        environment.meters.recordDuration(System.nanoTime() - startedAt)
        environment.removeExchange(this)
    }

    internal fun holdFailure(answer: BufferedAnswer) {
        failedAnswer = answer
    }

    /** Starts to forward a stream or a long answer. The head of a resumed stream has already been written. */
    internal fun startAnswer(answer: BufferedAnswer) {
        if (isAnswerStarted) return
        isAnswerStarted = true
        val headers = answer.head.headers().copy().removeHopByHopHeaders()
        headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        output.startAnswer(answer.head.status().code(), answer.head.status().reasonPhrase(), headers)
    }

    internal fun sendAnswer(answer: BufferedAnswer) {
        val status = answer.head.status()
        val headers = answer.head.headers().copy().removeHopByHopHeaders()
        output.sendAnswer(status.code(), status.reasonPhrase(), headers, answer.toByteArray())
    }

    internal fun chargeAnswer(bytes: Int): Boolean = output.chargeAnswer(bytes)

    internal fun forward(part: ByteBuf) {
        if (!output.writeBody(part)) attempt?.pauseReading(true)
    }

    internal fun takeEvents(part: ByteBuf, isChunked: Boolean): ByteBuf? {
        isScanning = true
        return scanner.takeEvents(part, isChunked)
    }

    internal val isInsideEvent: Boolean get() = isScanning && scanner.isInsideEvent

    internal val isEventTooLarge: Boolean get() = isScanning && scanner.isEventTooLarge

    internal val hasForeignAnswer: Boolean get() = isScanning && scanner.hasForeignAnswer

    internal val hasEventId: Boolean get() = isScanning && scanner.lastEventId != null

    internal fun flush() = output.flush()

    /** Ends a chunked answer. Comments after the last event belong to it. */
    internal fun endAnswer() {
        if (isScanning) output.writeBody(scanner.takeRemainder())
        output.endAnswer()
    }

    internal fun reportFirstEvent(attempt: Int, load: ReportedLoad?) {
        environment.meters.recordFirstEvent(System.nanoTime() - startedAt)
        environment.post(FirstEventArrived(number, attempt, load))
    }

    /** Reports the result of [ended]; a delivered answer ends the exchange. A silent attempt may be left. */
    internal fun endAttempt(ended: Attempt, result: AttemptResult, isDelivered: Boolean) {
        if (ended === attempt) attempt = silentAttempt else dropPartialEvent()
        silentAttempt = null
        if (isDelivered) close()
        environment.post(AttemptEnded(number, ended.number, result))
    }

    internal fun lostAnswer(cause: String): AttemptResult =
        AnswerLost(cause, eventCount, isAnswerStarted, isResumable = isAnswerStarted && hasEventId)
}

internal fun answeredFailure(answer: BufferedAnswer): AttemptResult =
    AnsweredFailure(answer.head.status().code(), answer.fields.load)

/** Seconds with a decimal point, whatever the default locale is. */
private fun formatSeconds(millis: Long): String = "%.3f".format(Locale.ROOT, millis / MILLIS_PER_SECOND)
