package org.ibismoor.router

import com.openai.client.OpenAIClient
import com.openai.client.okhttp.OpenAIOkHttpClient
import com.openai.models.chat.completions.ChatCompletionCreateParams
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.router.api.ControlAddress
import org.ibismoor.router.api.RouterProcess
import org.ibismoor.router.api.RouterSettings
import org.ibismoor.router.api.startRouter
import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.standin.api.ServiceSettings
import org.ibismoor.standin.api.startEngine
import org.ibismoor.standin.api.startService
import org.ibismoor.standin.api.steadyPace
import org.ibismoor.transport.api.ClientSettings
import org.ibismoor.transport.api.HttpLimits
import org.ibismoor.transport.api.createOkHttpClient
import kotlin.time.Duration.Companion.seconds

val fastEngine = EngineSettings(answerTokens = 20, pace = steadyPace(0, 10_000.0))
val httpClient: OkHttpClient =
    createOkHttpClient(ClientSettings(readTimeoutMillis = 20_000, callTimeoutMillis = 30_000))

/** If there are [otherUpstreams], given by their ports, they serve as engines and in place of the service stand-in. */
class TestFleet(
    engineSettings: List<EngineSettings>,
    serviceSettings: ServiceSettings = ServiceSettings(),
    otherUpstreams: List<Int> = emptyList(),
) : AutoCloseable {
    val engines = engineSettings.map(::startEngine)
    val service = startService(serviceSettings)
    val control = FakeControl(engines.map { it.port } + otherUpstreams, otherUpstreams.ifEmpty { listOf(service.port) })
    var router = startTestRouter()
        private set
    val url get() = "http://127.0.0.1:${router.port}"

    init {
        awaitReady()
    }

    /** Ends the router and starts another one, which has no state of the first. */
    fun restartRouter() {
        router.close()
        router = startTestRouter()
        awaitReady()
    }

    private fun startTestRouter(): RouterProcess =
        startRouter(
            RouterSettings(
                id = RouterId("norte-a"),
                domain = FailureDomainId("norte"),
                host = "127.0.0.1",
                port = 0,
                publicUrl = null,
                controlAddresses = listOf(ControlAddress(FailureDomainId("norte"), control.url)),
                randomSeed = 1,
                httpLimits = HttpLimits(bodyBytes = 100_000, bodyTimeoutMillis = 1_000),
            ),
        )

    private fun awaitReady() = runBlocking { eventually(20.seconds) { get("/health").first shouldBe 200 } }

    fun openAi(key: String = API_KEY): OpenAIClient =
        OpenAIOkHttpClient.builder().apiKey(key).baseUrl("$url/v1").maxRetries(0).build()

    fun get(path: String, key: String? = null): Pair<Int, String> = call(Request.Builder().url(url + path), key)

    fun post(
        path: String,
        body: String,
        key: String? = API_KEY,
        headers: Map<String, String> = emptyMap(),
    ): Pair<Int, String> {
        val request = Request.Builder().url(url + path).post(body.toRequestBody())
        headers.forEach(request::header)
        return call(request, key)
    }

    private fun call(request: Request.Builder, key: String?): Pair<Int, String> {
        if (key != null) request.header("Authorization", "Bearer $key")
        return httpClient.newCall(request.build()).execute().use { it.code to it.body!!.string() }
    }

    override fun close() {
        router.close()
        control.close()
        engines.forEach { it.close() }
        service.close()
    }
}

fun prompt(text: String, model: String = "small"): ChatCompletionCreateParams =
    ChatCompletionCreateParams.builder().model(model).addUserMessage(text).build()

fun chatBody(stream: Boolean, model: String = "small", text: String = "hello"): String =
    """{"model":"$model","stream":$stream,"messages":[{"role":"user","content":"$text"}]}"""
