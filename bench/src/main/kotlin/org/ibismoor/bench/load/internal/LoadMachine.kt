/**
 * Starts requests at a constant rate, independent of the results of earlier ones, and counts how they ended. After the
 * last start it waits a bounded time for requests in flight.
 */
package org.ibismoor.bench.load.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp

private const val MILLIS_PER_SECOND = 1_000L

/** Longer than the answers under the slowest load that the bench script drives. */
private const val IN_FLIGHT_TIMEOUT_MILLIS = 90_000L

internal class LoadMachine : TickMachine<LoadTables, RequestEnded, LoadEffect> {
    override fun nextDue(tables: LoadTables): Timestamp? {
        val starts = tables.arrivals.values.map { it.nextStartAt }.filter { it < tables.measuredUntil }
        val phaseEnd = when (tables.phase) {
            LoadPhase.WARM_UP -> tables.measuredFrom
            LoadPhase.MEASURED -> tables.measuredUntil
            LoadPhase.ENDING -> tables.measuredUntil + IN_FLIGHT_TIMEOUT_MILLIS
            LoadPhase.ENDED -> null
        }
        return (starts + listOfNotNull(phaseEnd)).minOrNull()
    }

    override fun run(tables: LoadTables, tick: Tick<RequestEnded>): Step<LoadTables, LoadEffect> {
        val counted = tick.messages.fold(tables, ::recordEnd)
        val changed = advancePhase(counted, tick.now)
        return LoadPath.entries.fold(changed) { step, path -> startDueRequests(step, path, tick.now) }
    }

    private fun recordEnd(tables: LoadTables, end: RequestEnded): LoadTables {
        val row = tables.inFlight[end.number]
        val remaining = tables.copy(inFlight = tables.inFlight.remove(end.number))
        return if (row != null && row.isMeasured) {
            withResult(remaining, ResultKey(row.path, end.code), end.tokens)
        } else {
            remaining
        }
    }

    private fun withResult(tables: LoadTables, key: ResultKey, tokens: Long): LoadTables {
        val result = tables.results[key] ?: ResultRow()
        return tables.copy(results = tables.results.put(key, ResultRow(result.requests + 1, result.tokens + tokens)))
    }

    private fun advancePhase(tables: LoadTables, now: Timestamp): Step<LoadTables, LoadEffect> =
        when (tables.phase) {
            LoadPhase.WARM_UP -> enterPhase(tables, LoadPhase.MEASURED, now >= tables.measuredFrom)
            LoadPhase.MEASURED -> enterPhase(tables, LoadPhase.ENDING, now >= tables.measuredUntil)
            LoadPhase.ENDING -> {
                val isOver = tables.inFlight.isEmpty() || now >= tables.measuredUntil + IN_FLIGHT_TIMEOUT_MILLIS
                if (isOver) Step(tables.copy(phase = LoadPhase.ENDED), listOf(LoadEffect.EndRun)) else Step(tables)
            }
            LoadPhase.ENDED -> Step(tables)
        }

    private fun enterPhase(tables: LoadTables, phase: LoadPhase, isDue: Boolean): Step<LoadTables, LoadEffect> =
        if (isDue) Step(tables.copy(phase = phase), listOf(LoadEffect.ReadProcesses(phase))) else Step(tables)

    private fun startDueRequests(
        step: Step<LoadTables, LoadEffect>,
        path: LoadPath,
        now: Timestamp,
    ): Step<LoadTables, LoadEffect> {
        val row = step.tables.arrivals[path]
        val isDue = row != null && row.nextStartAt <= now && row.nextStartAt < step.tables.measuredUntil
        return if (row != null && isDue) startDueRequests(withRequest(step, path, row), path, now) else step
    }

    private fun withRequest(
        step: Step<LoadTables, LoadEffect>,
        path: LoadPath,
        row: ArrivalRow,
    ): Step<LoadTables, LoadEffect> {
        val number = step.tables.lastNumber + 1
        val request = RequestRow(path, row.nextStartAt >= step.tables.measuredFrom)
        val next = step.tables.copy(
            arrivals = step.tables.arrivals.put(path, row.copy(startedCount = row.startedCount + 1)),
            inFlight = step.tables.inFlight.put(number, request),
            lastNumber = number,
        )
        val effect = LoadEffect.StartRequest(number, path, request.isMeasured)
        return Step(next, step.effects + effect)
    }
}

private val ArrivalRow.nextStartAt: Timestamp get() = startAt + startedCount * MILLIS_PER_SECOND / rate
