/**
 * Starts requests at even distances, whatever became of earlier ones, and counts how they ended. After the last start
 * it waits a bounded time for requests in flight.
 */
package org.ibismoor.bench.load.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp

private const val MILLIS_PER_SECOND = 1_000L

/** Answers of the slowest load that the bench script drives take less. */
private const val LONGEST_END_MILLIS = 90_000L

internal class LoadMachine : TickMachine<LoadTables, RequestEnd, LoadEffect> {
    override fun nextDue(tables: LoadTables): Timestamp? {
        val starts = tables.arrivals.values.map { it.nextAt }.filter { it < tables.endsAt }
        val change = when (tables.phase) {
            LoadPhase.WARM_UP -> tables.measuredFrom
            LoadPhase.MEASURED -> tables.endsAt
            LoadPhase.ENDING -> tables.endsAt + LONGEST_END_MILLIS
            LoadPhase.ENDED -> null
        }
        return (starts + listOfNotNull(change)).minOrNull()
    }

    override fun run(tables: LoadTables, tick: Tick<RequestEnd>): Step<LoadTables, LoadEffect> {
        val counted = tick.messages.fold(tables, ::ended)
        val changed = change(counted, tick.now)
        return LoadPath.entries.fold(changed) { step, path -> start(step, path, tick.now) }
    }

    private fun ended(tables: LoadTables, end: RequestEnd): LoadTables {
        val row = tables.inFlight[end.number]
        val left = tables.copy(inFlight = tables.inFlight.remove(end.number))
        return if (row != null && row.isMeasured) counted(left, ResultKey(row.path, end.code), end.tokens) else left
    }

    private fun counted(tables: LoadTables, key: ResultKey, tokens: Long): LoadTables {
        val result = tables.results[key] ?: ResultRow()
        return tables.copy(results = tables.results.put(key, ResultRow(result.requests + 1, result.tokens + tokens)))
    }

    private fun change(tables: LoadTables, now: Timestamp): Step<LoadTables, LoadEffect> =
        when (tables.phase) {
            LoadPhase.WARM_UP -> enter(tables, LoadPhase.MEASURED, now >= tables.measuredFrom)
            LoadPhase.MEASURED -> enter(tables, LoadPhase.ENDING, now >= tables.endsAt)
            LoadPhase.ENDING -> {
                val isOver = tables.inFlight.isEmpty() || now >= tables.endsAt + LONGEST_END_MILLIS
                if (isOver) Step(tables.copy(phase = LoadPhase.ENDED), listOf(LoadEffect.EndRun)) else Step(tables)
            }
            LoadPhase.ENDED -> Step(tables)
        }

    private fun enter(tables: LoadTables, phase: LoadPhase, isDue: Boolean): Step<LoadTables, LoadEffect> =
        if (isDue) Step(tables.copy(phase = phase), listOf(LoadEffect.ReadProcesses(phase))) else Step(tables)

    private fun start(
        step: Step<LoadTables, LoadEffect>,
        path: LoadPath,
        now: Timestamp,
    ): Step<LoadTables, LoadEffect> {
        val row = step.tables.arrivals[path]
        val isDue = row != null && row.nextAt <= now && row.nextAt < step.tables.endsAt
        return if (row != null && isDue) start(started(step, path, row), path, now) else step
    }

    private fun started(
        step: Step<LoadTables, LoadEffect>,
        path: LoadPath,
        row: ArrivalRow,
    ): Step<LoadTables, LoadEffect> {
        val number = step.tables.lastNumber + 1
        val request = RequestRow(path, row.nextAt >= step.tables.measuredFrom)
        val next = step.tables.copy(
            arrivals = step.tables.arrivals.put(path, row.copy(started = row.started + 1)),
            inFlight = step.tables.inFlight.put(number, request),
            lastNumber = number,
        )
        val effect = LoadEffect.StartRequest(number, path, request.isMeasured)
        return Step(next, step.effects + effect)
    }
}

private val ArrivalRow.nextAt: Timestamp get() = startAt + started * MILLIS_PER_SECOND / rate
