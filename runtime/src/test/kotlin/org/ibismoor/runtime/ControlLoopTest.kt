package org.ibismoor.runtime

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.runtime.api.ControlLoop
import org.ibismoor.runtime.api.createClock

/** Records the time and messages of each tick; has due work every 100 ms. */
private class RecordingMachine : TickMachine<List<Pair<Long, List<String>>>, String, String> {
    override fun nextDue(tables: List<Pair<Long, List<String>>>) = Timestamp(100L * (tables.size + 1))

    override fun run(tables: List<Pair<Long, List<String>>>, tick: Tick<String>) =
        Step<List<Pair<Long, List<String>>>, String>(tables + (tick.now.millis to tick.messages))
}

@OptIn(ExperimentalCoroutinesApi::class)
class ControlLoopTest : StringSpec({
    fun TestScope.createLoop() =
        ControlLoop(RecordingMachine(), emptyList(), createClock(testScheduler.timeSource) { 0 }) { _, _ -> }

    "a tick runs when work is due although no message arrives" {
        runTest {
            val loop = createLoop()
            val job = backgroundScope.launch { loop.run() }
            advanceTimeBy(250)
            loop.tables shouldBe listOf(100L to emptyList(), 200L to emptyList())
            job.cancel()
        }
    }

    "queued messages are handled in one tick, in order, and none is lost at close" {
        runTest {
            val loop = createLoop()
            loop.post("a")
            loop.post("b")
            loop.close()
            backgroundScope.launch { loop.run() }
            runCurrent()
            loop.tables.first() shouldBe (0L to listOf("a", "b"))
        }
    }
})
