/**
 * Writes the observations of a soak to a file, one a line, and keeps the counts of its result. It is used on the
 * control thread only.
 */
package org.ibismoor.soak.internal

import org.ibismoor.soak.api.AnswerEnded
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.ProcessEnded
import org.ibismoor.soak.api.RequestSent
import org.ibismoor.soak.api.SoakResult
import java.io.BufferedWriter
import java.nio.file.Files
import java.nio.file.Path

internal class ObservationLog(file: Path, private val checks: RunningChecks) : AutoCloseable {
    private val writer: BufferedWriter = Files.newBufferedWriter(file)
    private var requests = 0
    private var answers: Map<Int?, Int> = emptyMap()
    private val unexpectedEnds = mutableListOf<ProcessEnded>()

    fun record(observations: List<Observation>) {
        observations.forEach { observation ->
            writer.appendLine(observation.toString())
            count(observation)
        }
        checks.check(observations).forEach { writer.appendLine(it.toString()) }
    }

    private fun count(observation: Observation) {
        when (observation) {
            is RequestSent -> requests += 1
            is AnswerEnded -> {
                val status = observation.status.takeIf { observation.isComplete }
                answers = answers + (status to answers.getOrDefault(status, 0) + 1)
            }
            is ProcessEnded -> if (!observation.isRequested) unexpectedEnds += observation
            else -> Unit
        }
    }

    fun result(hasServed: Boolean): SoakResult =
        SoakResult(
            hasServed,
            checks.violations(),
            checks.report() ?: "nothing was observed",
            requests,
            answers,
            unexpectedEnds.toList(),
        )

    override fun close() = writer.close()
}
