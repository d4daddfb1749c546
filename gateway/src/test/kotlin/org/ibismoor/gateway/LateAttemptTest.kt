/**
 * Attempts that start late, after a stall of the router process, for callers that have left in the meantime.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import org.ibismoor.gateway.internal.router.CutCause
import java.util.concurrent.TimeUnit

private const val STALL_MILLIS = 150L
private const val SETTLED_MILLIS = 300L

class LateAttemptTest : StringSpec({
    "a late attempt is not sent if the close of the caller's connection is read next" {
        // Guards against requests that reach upstreams long after their callers have left, since a stalled router sends
        // what it has read before it reads that the callers have gone.
        RawUpstream { request, output, _ ->
            output.write(plainAnswer(request, "done", "Keep-Alive: timeout=9\r\n"))
        }.use { upstream ->
            val environment = ExchangeFixture()
            environment.run { environment.exchange().send(attemptAt(upstream.address)) }
            waitUntil { environment.messages.isNotEmpty() }
            val exchange = environment.exchange()
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS)
            environment.run {
                environment.eventLoop.execute { exchange.handleCallerDisconnect(CutCause.CALLER_CLOSED) }
                exchange.send(attemptAt(upstream.address))
            }
            TimeUnit.MILLISECONDS.sleep(SETTLED_MILLIS)
            upstream.requests shouldHaveSize 1
            environment.close()
        }
    }

    "a late attempt is sent for a caller that stays" {
        RawUpstream { request, output, _ -> output.write(plainAnswer(request, "done")) }.use { upstream ->
            val environment = ExchangeFixture()
            val exchange = environment.exchange()
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS)
            environment.run { exchange.send(attemptAt(upstream.address)) }
            waitUntil { environment.messages.isNotEmpty() }
            upstream.requests shouldHaveSize 1
            environment.close()
        }
    }
})
