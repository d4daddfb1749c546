/**
 * [InternalClient] based on OkHttp.
 */
package org.ibismoor.transport.internal

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import okhttp3.Call
import okhttp3.Callback
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.ibismoor.transport.api.CallResult
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.InternalClient
import org.ibismoor.transport.api.JSON_CONTENT_TYPE
import org.ibismoor.transport.api.SendTracker
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.encodeJson
import java.io.IOException
import java.util.concurrent.CompletableFuture

private const val MAXIMUM_ANSWER_BYTES = 64L * 1024 * 1024
private val jsonMediaType = JSON_CONTENT_TYPE.toMediaType()

internal class OkHttpInternalClient(private val client: OkHttpClient) : InternalClient {
    override fun <Q, A> postJson(
        url: String,
        request: Q,
        requestSerializer: SerializationStrategy<Q>,
        answerSerializer: DeserializationStrategy<A>,
    ): CompletableFuture<CallResult<A>> {
        val body = encodeJson(requestSerializer, request).toByteArray().toRequestBody(jsonMediaType)
        return call(Request.Builder().url(url).post(body), answerSerializer)
    }

    override fun <A> getJson(
        url: String,
        answerSerializer: DeserializationStrategy<A>,
    ): CompletableFuture<CallResult<A>> = call(Request.Builder().url(url).get(), answerSerializer)

    override fun close() {
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun <A> call(
        builder: Request.Builder,
        answerSerializer: DeserializationStrategy<A>,
    ): CompletableFuture<CallResult<A>> {
        val tracker = SendTracker()
        val result = CompletableFuture<CallResult<A>>()
        val request = builder.tag(SendTracker::class.java, tracker).build()
        client.newCall(request).enqueue(CompletingCallback(result, tracker, answerSerializer))
        return result
    }
}

private class CompletingCallback<A>(
    private val result: CompletableFuture<CallResult<A>>,
    private val tracker: SendTracker,
    private val answerSerializer: DeserializationStrategy<A>,
) : Callback {
    override fun onFailure(call: Call, e: IOException) {
        result.complete(failure(e))
    }

    override fun onResponse(call: Call, response: Response) {
        result.complete(response.use(::read))
    }

    private fun failure(e: IOException): CallResult<A> {
        val problem = e.message ?: e.javaClass.simpleName
        return if (tracker.isSent) CallResult.AnswerLost(problem) else CallResult.NotSent(problem)
    }

    private fun read(response: Response): CallResult<A> =
        try {
            val text = response.peekBody(MAXIMUM_ANSWER_BYTES).string()
            if (response.isSuccessful) decode(text) else CallResult.Refused(response.code, text)
        } catch (e: IOException) {
            CallResult.AnswerLost(e.message ?: e.javaClass.simpleName)
        }

    private fun decode(text: String): CallResult<A> =
        when (val decoded = decodeJson(answerSerializer, text)) {
            is Decoded.Value -> CallResult.Answered(decoded.value)
            is Decoded.Malformed -> CallResult.AnswerLost("malformed answer: ${decoded.problem}")
        }
}
