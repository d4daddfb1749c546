/**
 * Checks that a prompt part that crashes upstreams is kept from them once it can be identified, but for single probes.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.Timestamp
import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.AttemptFinished
import org.ibismoor.soak.api.AttemptReceived
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.PromptPartRow
import org.ibismoor.soak.api.RequestSent
import org.ibismoor.soak.api.UpstreamCrashed

/** Crashes that are closer together count as one moment. */
private const val CRASH_INTERVAL_MILLIS = 100L

internal class QuarantineSystem(private val settings: CheckSettings) : ObservationSystem {
    private val limits = settings.quarantine

    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is UpstreamCrashed -> CheckStep(recordCrash(tables, observation))
            is AttemptBegan -> CheckStep(recordBegan(tables, observation))
            is AttemptFinished -> CheckStep(recordAnswer(tables, observation))
            is RequestSent -> CheckStep(countRequest(tables, observation))
            is AttemptReceived -> checkArrival(tables, observation)
            else -> CheckStep(tables)
        }

    private fun recordCrash(tables: CheckTables, crash: UpstreamCrashed): CheckTables {
        val part = crash.promptPart ?: return tables
        val row = tables.promptParts[part]
        val updated = when {
            row == null -> PromptPartRow(crashes = 1, lastCrashAt = crash.at)
            crash.at - row.lastCrashAt < CRASH_INTERVAL_MILLIS -> row
            else -> row.copy(crashes = row.crashes + 1, lastCrashAt = crash.at)
        }
        return tables.withPart(part, updated.identified(crash.at))
    }

    private fun recordBegan(tables: CheckTables, began: AttemptBegan): CheckTables {
        val parts = tables.attemptBegunBy(began)?.received?.promptParts.orEmpty()
        if (parts.isEmpty()) return tables
        return tables.promptParts.filterKeys { it !in parts }.entries.fold(tables) { current, (part, row) ->
            current.withPart(part, row.copy(otherAnswers = row.otherAnswers + 1).identified(began.at))
        }
    }

    /** An answer shows that the part no longer crashes upstreams. */
    private fun recordAnswer(tables: CheckTables, finished: AttemptFinished): CheckTables {
        val parts = tables.attempts[finished.attempt]?.received?.promptParts.orEmpty()
        if (finished.made == null || tables.promptParts.isEmpty()) return tables
        return tables.copy(promptParts = parts.fold(tables.promptParts) { rows, part -> rows.remove(part) })
    }

    private fun countRequest(tables: CheckTables, sent: RequestSent): CheckTables {
        val isExercised = sent.promptParts.any { tables.promptParts[it].isQuarantineDue(sent.at) }
        return tables.withExercised(Guarantee.QUARANTINE, isExercised)
    }

    private fun checkArrival(tables: CheckTables, received: AttemptReceived): CheckStep {
        val parts = received.promptParts.filter { it in tables.promptParts }
        val arrived = parts.fold(tables) { current, part ->
            current.withPart(part, current.promptParts.getValue(part).copy(lastArrivalAt = received.at))
        }
        val router = tables.requests[received.request]?.sent?.router
        val fatal = parts.find { !tables.promptParts.getValue(it).isArrivalPermitted(received.at) }
        if (fatal == null || router == null || !settings.isInTouch(tables, router, received.at)) {
            return CheckStep(arrived)
        }
        val crashes = tables.promptParts.getValue(fatal).crashes
        val details = "${received.upstream} gets prompt part $fatal after it had crashed upstreams $crashes times"
        return checked(arrived, Guarantee.QUARANTINE, received.at, received.request, details)
    }

    private fun PromptPartRow?.isQuarantineDue(at: Timestamp): Boolean {
        val identifiedAt = this?.identifiedAt ?: return false
        return at - identifiedAt > limits.delayMillis
    }

    /** The last arrival before a probe may be one from before the quarantine was in force everywhere. */
    private fun PromptPartRow.isArrivalPermitted(at: Timestamp): Boolean {
        val last = lastArrivalAt
        val isProbe = last == null || at - last >= limits.probeIntervalMillis - limits.delayMillis
        return isProbe || !isQuarantineDue(at)
    }

    private fun PromptPartRow.identified(at: Timestamp): PromptPartRow {
        val isIdentified = crashes >= limits.crashes && otherAnswers >= limits.otherAnswers
        return if (isIdentified && identifiedAt == null) copy(identifiedAt = at) else this
    }
}

private fun CheckTables.withPart(part: String, row: PromptPartRow): CheckTables =
    copy(promptParts = promptParts.put(part, row))
