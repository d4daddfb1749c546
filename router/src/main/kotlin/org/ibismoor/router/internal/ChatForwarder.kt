/**
 * Forwards chat completions to engines and their answers to callers, streamed or assembled.
 */
package org.ibismoor.router.internal

import okhttp3.MediaType.Companion.toMediaType
import okhttp3.RequestBody.Companion.toRequestBody
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.transport.api.ErrorBody
import org.ibismoor.transport.api.ErrorDetail
import org.ibismoor.transport.api.JSON_CONTENT_TYPE
import org.ibismoor.transport.api.errorType
import org.ibismoor.transport.api.jsonResponse

private const val MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024
private val jsonMediaType = JSON_CONTENT_TYPE.toMediaType()

internal class ChatForwarder(private val client: UpstreamClient, private val refusals: Refusals) {
    fun forward(call: ChatCall, attempt: Attempt): Response? =
        when (val result = client.send(attempt, upstreamRequest(call, attempt))) {
            is UpstreamResult.Failed -> attempt.failBeforeStart(result.failure)
            is UpstreamResult.Answered -> forwardAnswer(call, attempt, result.answer)
        }

    private fun upstreamRequest(call: ChatCall, attempt: Attempt): UpstreamRequest {
        val body = call.upstreamBody(attempt.dispatch.answerTokenBound).toByteArray().toRequestBody(jsonMediaType)
        return UpstreamRequest("POST", "/v1/chat/completions", emptyList(), body)
    }

    private fun forwardAnswer(call: ChatCall, attempt: Attempt, answer: UpstreamAnswer): Response? {
        val status = Status(answer.status, null)
        return when {
            status == Status.OK -> {
                val reader = ChatReader(answer, attempt, call.wantsUsage || !call.isStreamed)
                if (call.isStreamed) streamAnswer(reader, attempt) else assembleAnswer(reader, attempt)
            }
            status.clientError -> rejectRequest(attempt, answer, status)
            else -> {
                answer.abort()
                attempt.failBeforeStart(AttemptFailure.NO_ANSWER)
            }
        }
    }

    private fun streamAnswer(reader: ChatReader, attempt: Attempt): Response? {
        val first = reader.next()
        if (first is ChatPart.Broken) return failBeforeStart(reader, first, attempt)
        attempt.reportStart()
        return Response(Status.OK)
            .header(HeaderNames.CONTENT_TYPE, "text/event-stream")
            .header("Cache-Control", "no-cache")
            .header(HeaderNames.IDEMPOTENCY_KEY, attempt.dispatch.key.key)
            .body(Body(ChatBody(reader, first, attempt, refusals)))
    }

    /** No part of the answer was forwarded yet, so a broken answer counts as none and a retry is possible. */
    private fun failBeforeStart(reader: ChatReader, part: ChatPart.Broken, attempt: Attempt): Response? {
        reader.close()
        val isBroken = part.failure == AttemptFailure.BROKEN_ANSWER
        return attempt.failBeforeStart(if (isBroken) AttemptFailure.NO_ANSWER else part.failure)
    }

    private fun assembleAnswer(reader: ChatReader, attempt: Attempt): Response? {
        val assembler = CompletionAssembler()
        var size = 0L
        var part = reader.next()
        while (part is ChatPart.Content) {
            size += part.event.data.length
            assembler.addChunk(part.event)
            part = if (size > MAXIMUM_ANSWER_BYTES) ChatPart.Broken(AttemptFailure.BROKEN_ANSWER) else reader.next()
        }
        return when (part) {
            is ChatPart.End -> completeAnswer(reader, assembler, part, attempt)
            is ChatPart.Broken -> failBeforeStart(reader, part, attempt)
            is ChatPart.Content -> null
        }
    }

    private fun completeAnswer(
        reader: ChatReader,
        assembler: CompletionAssembler,
        end: ChatPart.End,
        attempt: Attempt,
    ): Response {
        end.heldEvents.forEach(assembler::addChunk)
        reader.close()
        attempt.reportCompletion(end.usage.cost, SUCCESS)
        return attempt.respondWhenCharged(refusals) {
            Response(Status.OK)
                .header(HeaderNames.CONTENT_TYPE, JSON_CONTENT_TYPE)
                .header(HeaderNames.IDEMPOTENCY_KEY, attempt.dispatch.key.key)
                .body(assembler.completion().toString())
        }
    }

    /** The engine rejected the request as invalid: the stream completes at no cost and is not retried. */
    private fun rejectRequest(attempt: Attempt, answer: UpstreamAnswer, status: Status): Response {
        answer.abort()
        attempt.reportCompletion(0, status.code)
        val reason = RefusalReason.MALFORMED_REQUEST
        val message = "The engine refused the request with status ${status.code}."
        val detail = ErrorDetail(message, reason.errorType, reason.code, Outcome.NOT_RUN)
        return attempt.respondWhenCharged(refusals) { jsonResponse(status, ErrorBody.serializer(), ErrorBody(detail)) }
    }

    companion object {
        const val SUCCESS = 200
    }
}
