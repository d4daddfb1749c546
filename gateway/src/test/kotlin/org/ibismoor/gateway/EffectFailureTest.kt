/**
 * Effects of one tick of which one cannot be performed.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.AttemptTerms
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.gateway.api.HttpDialect
import org.ibismoor.gateway.internal.net.ClientPool
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.router.AnswerSink
import org.ibismoor.gateway.internal.router.CutAnswerRecorder
import org.ibismoor.gateway.internal.router.ReceivedRequest
import org.ibismoor.gateway.internal.router.RouterMeters
import org.ibismoor.gateway.internal.router.RouterTraffic
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

private object FailingDialect : HttpDialect by TestDialect {
    override fun writeAttemptFields(upstream: UpstreamEntry, terms: AttemptTerms, headers: HttpHeaders) {
        throw IllegalArgumentException("a header value with a line break")
    }
}

class EffectFailureTest : StringSpec({
    "an effect that fails does not drop the effects after it" {
        // Guards against callers that get neither an answer nor a refusal, since another request in the same tick could
        // not be sent.
        val group = createTrafficThread()
        val meters = RouterMeters({ error("tables are not read") }, { 0L })
        val traffic = RouterTraffic(group, ClientPool(group, null), FailingDialect, meters, CutAnswerRecorder { }) { }
        val headers = DefaultHttpHeaders().add("Call-Id", "c1")
        val fields = checkNotNull(TestDialect.readRequestFields(headers))
        val request = ReceivedRequest(HttpMethod.POST, "/once/1", "desk.example", headers, fields, ByteArray(0))
        val statuses = CopyOnWriteArrayList<Int>()
        val sink = object : AnswerSink by DiscardingSink {
            override fun sendAnswer(status: Int, reason: String, headers: HttpHeaders, body: ByteArray) {
                statuses += status
            }
        }
        group.next().submit {
            val sent = traffic.startExchange(request, DiscardingSink).number
            val refused = traffic.startExchange(request, sink).number
            traffic.perform(
                listOf(
                    attemptAt("127.0.0.1:1").copy(number = sent),
                    RefuseRequest(refused, RefusalReason.NO_UPSTREAM, Outcome.NOT_RUN, retryAfterMillis = null),
                ),
            )
        }.await()
        statuses shouldHaveSize 1
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
})
