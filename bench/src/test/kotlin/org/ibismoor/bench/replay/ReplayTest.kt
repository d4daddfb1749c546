package org.ibismoor.bench.replay

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.bench.replay.internal.Deployment
import org.ibismoor.bench.replay.internal.Replay
import org.ibismoor.bench.replay.internal.TraceFile
import org.ibismoor.bench.replay.internal.TraceFindings
import org.ibismoor.bench.replay.internal.TraceGenerator
import org.ibismoor.bench.replay.internal.TraceKind
import org.ibismoor.bench.replay.internal.TraceRead
import org.ibismoor.bench.replay.internal.policies
import java.nio.file.Files

private const val SEED = 1L

class ReplayTest : StringSpec({
    val trace = TraceGenerator(Deployment.BILBAO, TraceKind.ENGINE_LOSS, SEED).generate()

    // Guards against a replay of a file that differs from the replay of the trace that was written.
    "a trace that was written is read as it was" {
        val path = tempfile().toPath()
        TraceFile.write(path, trace)
        TraceFile.read(path) shouldBe TraceRead(trace)
    }

    // Guards against a trace that loses a request without a word because a line is damaged.
    "a damaged line is found with its number" {
        val path = tempfile().toPath()
        TraceFile.write(path, trace)
        Files.writeString(path, Files.readString(path).replaceFirst("\"type\":\"arrival\"", "\"type\":\"arrived\""))
        val result = TraceFile.read(path)
        result.shouldBeInstanceOf<TraceFindings>().findings.single().place.line shouldBe 2
    }

    // Guards against a verdict that changes from run to run.
    "a trace has the same score each time" {
        val policy = policies().first()
        Replay(trace).run(policy) shouldBe Replay(trace).run(policy)
    }

    // Guards against a routing change that makes the loss of an engine visible to callers.
    "the expected outcomes of the loss of an engine are met" {
        val scores = policies().take(2).associate { it.name to Replay(trace).run(it) }
        trace.header.expected.forEach { expectation ->
            expectation.isMet(scores.getValue("ours"), scores.getValue(expectation.baseline)) shouldBe true
        }
    }
})
