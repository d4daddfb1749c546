package org.ibismoor.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.ibismoor.gateway.internal.StructuredLog
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

class StructuredLogTest : StringSpec({
    "lines that two refused writes lost are counted and reported with the next batch" {
        // Guards against a gap in the log that nobody notices.
        val output = RefusingOutput(refusals = 2)
        val log = StructuredLog("test", output)
        repeat(2) { turn ->
            log.write("lost")
            eventually(5.seconds) { output.refused shouldBe turn + 1 }
        }
        log.write("kept")
        eventually(5.seconds) { output.text shouldContain "event=log_lines_dropped count=2" }
        log.droppedLines shouldBe 2
        log.close()
    }

    "a batch of lines is written in parts that a pipe takes whole" {
        // Guards against lines that a reader of the output lacks or gets in part, although none was dropped.
        val output = RecordingOutput()
        val log = StructuredLog("test", output)
        repeat(LINES) { log.write("request_ended", "id" to it, "text" to "x".repeat(LINE_BYTES)) }
        log.close()
        output.writes.joinToString("").lines().count { "event=request_ended" in it } shouldBe LINES
        output.writes.filter { it.length > PIPE_BYTES || !it.endsWith('\n') }.shouldBeEmpty()
    }
})

private const val LINES = 100
private const val LINE_BYTES = 200

/** What Linux writes to a pipe in one piece. */
private const val PIPE_BYTES = 4_096

private class RecordingOutput : OutputStream() {
    val writes = CopyOnWriteArrayList<String>()

    override fun write(byte: Int) = write(byteArrayOf(byte.toByte()))

    override fun write(bytes: ByteArray) {
        writes += bytes.decodeToString()
    }
}

private class RefusingOutput(private val refusals: Int) : OutputStream() {
    @Volatile
    var refused = 0
        private set

    @Volatile
    var text = ""
        private set

    override fun write(byte: Int) = write(byteArrayOf(byte.toByte()))

    override fun write(bytes: ByteArray) {
        if (refused < refusals) {
            refused++
            throw IOException("refused")
        }
        text += bytes.decodeToString()
    }
}
