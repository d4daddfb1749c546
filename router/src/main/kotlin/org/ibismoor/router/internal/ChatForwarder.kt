/**
 * Attempts of chat completions at engines.
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

private const val LONGEST_ANSWER_BYTES = 4 * 1024 * 1024
private val jsonMediaType = JSON_CONTENT_TYPE.toMediaType()

internal class ChatFlow(private val client: UpstreamClient, private val refusals: Refusals) {
    fun attempt(call: ChatCall, attempt: Attempt): Response? =
        when (val result = client.send(attempt, requestOf(call, attempt))) {
            is UpstreamResult.Failed -> attempt.failed(result.failure)
            is UpstreamResult.Answered -> answered(call, attempt, result.answer)
        }

    private fun requestOf(call: ChatCall, attempt: Attempt): UpstreamRequest {
        val body = call.upstreamBody(attempt.dispatch.answerTokenBound).toByteArray().toRequestBody(jsonMediaType)
        return UpstreamRequest("POST", "/v1/chat/completions", emptyList(), body)
    }

    private fun answered(call: ChatCall, attempt: Attempt, answer: UpstreamAnswer): Response? {
        val status = Status(answer.status, null)
        return when {
            status == Status.OK -> {
                val reader = ChatReader(answer, attempt, call.wantsUsage || !call.isStreamed)
                if (call.isStreamed) stream(reader, attempt) else assemble(reader, attempt)
            }
            status.clientError -> refused(attempt, answer, status)
            else -> {
                answer.abort()
                attempt.failed(AttemptFailure.NO_ANSWER)
            }
        }
    }

    private fun stream(reader: ChatReader, attempt: Attempt): Response? {
        val first = reader.next()
        if (first is ChatPart.Broken) return broken(reader, first, attempt)
        attempt.reportStart()
        return Response(Status.OK)
            .header(CallerHeaders.CONTENT_TYPE, "text/event-stream")
            .header("Cache-Control", "no-cache")
            .header(CallerHeaders.IDEMPOTENCY_KEY, attempt.dispatch.key.key)
            .body(Body(ChatBody(reader, first, attempt, refusals)))
    }

    /** Nothing was passed on yet. */
    private fun broken(reader: ChatReader, part: ChatPart.Broken, attempt: Attempt): Response? {
        reader.close()
        val isBroken = part.failure == AttemptFailure.BROKEN_ANSWER
        return attempt.failed(if (isBroken) AttemptFailure.NO_ANSWER else part.failure)
    }

    private fun assemble(reader: ChatReader, attempt: Attempt): Response? {
        val assembler = CompletionAssembler()
        var size = 0L
        var part = reader.next()
        while (part is ChatPart.Content) {
            size += part.event.data.length
            assembler.add(part.event)
            part = if (size > LONGEST_ANSWER_BYTES) ChatPart.Broken(AttemptFailure.BROKEN_ANSWER) else reader.next()
        }
        return when (part) {
            is ChatPart.End -> assembled(reader, assembler, part, attempt)
            is ChatPart.Broken -> broken(reader, part, attempt)
            is ChatPart.Content -> null
        }
    }

    private fun assembled(
        reader: ChatReader,
        assembler: CompletionAssembler,
        end: ChatPart.End,
        attempt: Attempt,
    ): Response {
        end.held.forEach(assembler::add)
        reader.close()
        attempt.reportWhole(end.usage.cost, SUCCESS)
        return attempt.conclude(refusals) {
            Response(Status.OK)
                .header(CallerHeaders.CONTENT_TYPE, JSON_CONTENT_TYPE)
                .header(CallerHeaders.IDEMPOTENCY_KEY, attempt.dispatch.key.key)
                .body(assembler.completion().toString())
        }
    }

    /** The engine finds fault with the request itself, which is an answer that costs nothing. */
    private fun refused(attempt: Attempt, answer: UpstreamAnswer, status: Status): Response {
        answer.abort()
        attempt.reportWhole(0, status.code)
        val reason = RefusalReason.MALFORMED_REQUEST
        val message = "The engine refused the request with status ${status.code}."
        val detail = ErrorDetail(message, reason.errorType, reason.code, Outcome.NOT_RUN)
        return attempt.conclude(refusals) { jsonResponse(status, ErrorBody.serializer(), ErrorBody(detail)) }
    }

    companion object {
        const val SUCCESS = 200
    }
}
