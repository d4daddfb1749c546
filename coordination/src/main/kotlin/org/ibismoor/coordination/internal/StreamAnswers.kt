/**
 * Answers routers' questions on the beginnings of streams from the replicated state.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.StreamAnswer
import org.ibismoor.coordination.api.StreamQuestion
import org.ibismoor.coordination.api.StreamTables

/** Answers the reports of one tick, which share an index of the recorded streams. */
internal class StreamAnswers(private val streams: StreamTables) {
    private val origins by lazy {
        streams.begun.flatMap { batch -> batch.streams.map { it to batch.origin } }.toMap()
    }

    fun answersFor(report: RouterReport): List<StreamAnswer> = report.streams?.asked.orEmpty().map(::answerTo)

    private fun answerTo(question: StreamQuestion): StreamAnswer {
        val origin = origins[question.stream]
        val soleVersion = streams.versions[question.group].orEmpty().singleOrNull()
        return StreamAnswer(question.stream, question.group, origin, soleVersion.takeIf { origin == null })
    }
}
