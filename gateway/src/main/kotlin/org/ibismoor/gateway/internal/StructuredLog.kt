/**
 * Writes events and decisions to standard output, one line of key-value pairs each. Lines pass through a bounded queue.
 * When it is full, lines are dropped and counted, so that a slow reader of the output never blocks the traffic or the
 * control thread.
 */
package org.ibismoor.gateway.internal

import org.ibismoor.forwarding.api.Decision
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.IOException
import java.io.OutputStream
import java.util.Locale
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val MAXIMUM_QUEUED_LINES = 4_096
private const val BATCH_LINES = 256

/** Linux writes up to this many bytes to a pipe in one piece; a reader may get a larger write in part. */
private const val MAXIMUM_WRITE_BYTES = 4_096

/** Lines that arrive within this time are written as one batch. */
private const val BATCH_DELAY_MILLIS = 200L
private const val CLOSE_TIMEOUT_MILLIS = 300L

internal class StructuredLog(
    private val part: String,
    private val output: OutputStream = FileOutputStream(FileDescriptor.out),
) {
    private val queue = ArrayBlockingQueue<String>(MAXIMUM_QUEUED_LINES)
    private val unreportedDrops = AtomicLong()
    private val totalDrops = AtomicLong()

    @Volatile
    private var isClosing = false
    private val writer = thread(name = "log", isDaemon = true) { writeBatches() }

    /** Lines dropped since the start of the process. */
    val droppedLines: Long get() = totalDrops.get()

    fun write(event: String, vararg values: Pair<String, Any?>) {
        enqueue(event, values.asSequence())
    }

    fun writeDecision(decision: Decision) {
        val facts = decision.facts.asSequence().map { it.name to it.value }
        val call = sequenceOf("id" to decision.callId).filter { it.second != null }
        enqueue(decision.kind.name.lowercase(), call + facts)
    }

    private fun enqueue(event: String, values: Sequence<Pair<String, Any?>>) {
        val text = StringBuilder("part=").append(part)
            .append(" at=").append(System.currentTimeMillis())
            .append(" event=").append(event)
        values.forEach { (name, value) -> text.append(' ').append(name).append('=').append(quoteIfNeeded(value)) }
        if (queue.offer(text.append('\n').toString())) return
        unreportedDrops.incrementAndGet()
        totalDrops.incrementAndGet()
    }

    private fun quoteIfNeeded(value: Any?): String {
        val text = if (value is Double) "%.2f".format(Locale.ROOT, value) else value.toString()
        return if (text.any { it == ' ' || it == '"' || it == '=' }) "\"${text.replace('"', '\'')}\"" else text
    }

    /** Writes the queued lines and ends the writer thread. */
    fun close() {
        isClosing = true
        writer.interrupt()
        writer.join(CLOSE_TIMEOUT_MILLIS)
    }

    private fun writeBatches() {
        val batch = ArrayList<String>(BATCH_LINES)
        while (!isClosing || queue.isNotEmpty()) {
            collectBatch(batch)
            if (batch.isNotEmpty()) writeBatch(batch)
            batch.clear()
        }
    }

    private fun collectBatch(batch: MutableList<String>) {
        try {
            if (!isClosing) {
                batch += queue.take()
                TimeUnit.MILLISECONDS.sleep(BATCH_DELAY_MILLIS)
            }
        } catch (_: InterruptedException) {
            // The log is closing: the queued lines are written without further delay.
            isClosing = true
        }
        queue.drainTo(batch, BATCH_LINES)
    }

    private fun writeBatch(batch: List<String>) {
        val lost = unreportedDrops.getAndSet(0)
        val notice = if (lost > 0) listOf("part=$part event=log_lines_dropped count=$lost\n") else emptyList()
        var written = 0
        try {
            blocksOf(batch + notice).forEach { lines ->
                output.write(lines.joinToString("").encodeToByteArray())
                written += lines.size
            }
        } catch (_: IOException) {
            // Standard output is closed, so nothing can be logged now; the next batch reports the lines as dropped.
            val unwritten = (batch.size - written).coerceAtLeast(0).toLong()
            unreportedDrops.addAndGet(lost + unwritten)
            totalDrops.addAndGet(unwritten)
        }
    }
}

/** Splits [lines] into blocks of at most [MAXIMUM_WRITE_BYTES]. A longer line has a block of its own. */
private fun blocksOf(lines: List<String>): List<List<String>> {
    val blocks = ArrayList<ArrayList<String>>()
    var bytes = MAXIMUM_WRITE_BYTES
    lines.forEach { line ->
        val lineBytes = line.encodeToByteArray().size
        if (bytes + lineBytes > MAXIMUM_WRITE_BYTES) {
            blocks += ArrayList<String>()
            bytes = 0
        }
        blocks.last() += line
        bytes += lineBytes
    }
    return blocks
}
