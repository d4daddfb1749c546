package org.ibismoor.router

import com.openai.errors.OpenAIServiceException
import com.openai.models.chat.completions.ChatCompletionStreamOptions
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Settle
import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.standin.api.TokenPace
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

class ChatTest : StringSpec({
    "an unmodified client library gets complete answers, streamed and not, each charged by its usage" {
        TestFleet(listOf(fastEngine)).use { fleet ->
            val client = fleet.openAi()
            val whole = client.chat().completions().create(prompt("first"))
            val text = whole.choices().single().message().content().get()
            text.trim().split(" ").size shouldBe 20
            whole.choices().single().finishReason().toString() shouldBe "stop"
            val streamed = client.chat().completions().createStreaming(prompt("first")).use { stream ->
                stream.stream().toList().joinToString("") { chunk ->
                    chunk.choices().joinToString("") { it.delta().content().orElse("") }
                }
            }
            streamed shouldBe text
            val charges = fleet.control.requests.filterIsInstance<Settle>().map { it.amount }
            charges shouldBe listOf(whole.usage().get().totalTokens(), whole.usage().get().totalTokens())
            client.models().list().items().map { it.id() } shouldBe listOf("small")
        }
    }

    "the usage chunk is forwarded only to a caller that requested it" {
        TestFleet(listOf(fastEngine)).use { fleet ->
            val options = ChatCompletionStreamOptions.builder().includeUsage(true).build()
            val withUsage = prompt("first").toBuilder().streamOptions(options).build()
            val usages = listOf(withUsage, prompt("first")).map { params ->
                fleet.openAi().chat().completions().createStreaming(params).use { stream ->
                    stream.stream().toList().count { it.usage().isPresent }
                }
            }
            usages shouldBe listOf(1, 0)
        }
    }

    "a token is forwarded before the next one is generated, and a reservation precedes the first" {
        val permits = Semaphore(0)
        val pace = TokenPace { _, _ -> permits.tryAcquire(20, TimeUnit.SECONDS) }
        TestFleet(listOf(EngineSettings(answerTokens = 5, pace = pace))).use { fleet ->
            permits.release()
            fleet.openAi().chat().completions().createStreaming(prompt("slow")).use { stream ->
                val chunks = stream.stream().iterator()
                repeat(4) {
                    chunks.next().choices().single().delta().content().get() shouldContain "-$it"
                    permits.release()
                }
                fleet.control.requests.map { it::class }.toSet() shouldBe setOf(Reserve::class)
                chunks.next().choices().single().delta().content().get() shouldContain "-4"
                chunks.next().choices().single().finishReason().isPresent shouldBe true
                fleet.control.requests.map { it::class } shouldContain Settle::class
                chunks.hasNext() shouldBe false
            }
        }
    }

    "errors of the client library carry code and outcome" {
        TestFleet(listOf(fastEngine)).use { fleet ->
            fun refusal(key: String, model: String): Pair<Int, String> {
                val e = shouldThrow<OpenAIServiceException> {
                    fleet.openAi(key).chat().completions().create(prompt("first", model))
                }
                return e.statusCode() to e.body().toString()
            }
            refusal("wrong", "small").let { (status, body) ->
                status shouldBe 401
                body shouldContain "unauthenticated"
                body shouldContain "not_run"
            }
            refusal(API_KEY, "huge").let { (status, body) ->
                status shouldBe 404
                body shouldContain "unknown_model"
            }
            refusal(POOR_KEY, "small").let { (status, body) ->
                status shouldBe 402
                body shouldContain "budget_exhausted"
                body shouldContain "not_run"
            }
        }
    }
})
