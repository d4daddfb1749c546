/**
 * What the caller of one stream has got of its answer. Reports the first cause that cuts the answer short.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.StreamId
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.TimeSource

private enum class AnswerState { OPEN, CHARGED, CUT }

internal class AnswerTrace(private val id: StreamId, private val cuts: AnswerCuts) {
    private val openedAt = TimeSource.Monotonic.markNow()
    private val events = AtomicLong()
    private val state = AtomicReference(AnswerState.OPEN)

    /** The upstream of the last attempt. */
    @Volatile
    var upstream: UpstreamId? = null

    /** Counts a part of the answer that is about to be passed on. */
    fun countEvent() {
        events.incrementAndGet()
    }

    /** Records that the charge of the answer is durable, so that only its last part is left to be written. */
    fun recordCharge() {
        state.compareAndSet(AnswerState.OPEN, AnswerState.CHARGED)
    }

    fun reportCut(cause: String, detail: String) {
        if (state.compareAndSet(AnswerState.OPEN, AnswerState.CUT)) report(cause, detail)
    }

    /** Reports that the caller closed the connection before the last part of its answer was written. */
    fun reportUnwritten() {
        val isFirst = state.compareAndSet(AnswerState.CHARGED, AnswerState.CUT)
        if (isFirst) report(AnswerCuts.CALLER_LEFT, "last_part_not_written")
    }

    private fun report(cause: String, detail: String) {
        val age = openedAt.elapsedNow().inWholeMilliseconds
        cuts.record(AnswerCut(id, cause, detail, upstream, events.get(), age))
    }
}
