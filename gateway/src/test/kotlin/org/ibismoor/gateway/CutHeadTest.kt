/**
 * An upstream that closes its connection in the middle of the head of its answer.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.string.shouldStartWith

private const val STATUS_LINE = "HTTP/1.1 200 OK\r\n"
private const val FIELDS = "Call-Id: c1\r\nMark: m\r\n"
private val HEADS = listOf(
    "${STATUS_LINE}${FIELDS}Content-Length: 40\r\n\r\n",
    "${STATUS_LINE}${FIELDS}Transfer-Encoding: chunked\r\n\r\n",
    "${STATUS_LINE}${FIELDS}Content-Type: text/event-stream\r\n\r\n",
)

/** Each line of the head, its end included or half of it, and the digits of its length. */
private fun cutsOf(head: String): List<String> {
    val lineEnds = head.indices.filter { head[it] == '\n' }.dropLast(1).flatMap { listOf(it, it + 1) }
    val insideLastField = head.length - "0\r\n\r\n".length
    return (lineEnds + insideLastField + (head.length - 2) + (head.length - 1)).map(head::take)
}

private fun cutting(head: String) = RawAnswer { _, output, socket ->
    output.write(head.encodeToByteArray())
    output.flush()
    socket.close()
}

class CutHeadTest : StringSpec({
    HEADS.forEachIndexed { number, head ->
        "an answer whose head is cut off is no success, whatever has arrived of head $number" {
            // Guards against a success with an empty or short body that is framed as whole.
            cutsOf(head).forEach { part ->
                RouterFixture(cutting(part)).use { fixture ->
                    fixture.exchange(request("POST /once/1")) shouldStartWith "HTTP/1.1 502"
                    fixture.receivedRequests shouldHaveSize 1
                }
            }
        }
    }
})
