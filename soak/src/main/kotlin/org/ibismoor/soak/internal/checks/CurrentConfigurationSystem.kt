/**
 * Checks that processes follow a confirmed configuration after its time limit, and that one incarnation of a process
 * never goes back to an older one.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.ConfigurationRead
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.ProcessRow

/** A process under a fault may send an answer much later than it looked at its configuration. */
private const val DISTURBED_ROLLBACK_SLACK_FACTOR = 8

internal class CurrentConfigurationSystem(private val settings: CheckSettings) : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is ConfigurationRead -> checkRead(tables, observation)
            is AttemptBegan -> checkService(tables, observation)
            else -> CheckStep(tables)
        }

    private fun checkRead(tables: CheckTables, read: ConfigurationRead): CheckStep {
        val due = tables.findDueConfiguration(read.sentAt, settings.configurationApplyMillis)
        val disturbedAt = tables.processes[read.process]?.disturbedAt
        val isExercised = due != null && disturbedAt != null && disturbedAt > due.confirmedAt
        val details = due?.let { findStaleRead(tables, read, it) } ?: findRollback(tables, read)
        val updated = tables.withRead(read).withExercised(Guarantee.CURRENT_CONFIGURATION, isExercised)
        val text = details?.let { "${read.process.text}: $it" }
        return checked(updated, Guarantee.CURRENT_CONFIGURATION, read.at, request = null, text)
    }

    private fun findStaleRead(tables: CheckTables, read: ConfigurationRead, due: DueConfiguration): String? {
        if (read.version >= due.version || tables.isStartedAfter(due, read)) return null
        val age = read.sentAt - due.confirmedAt
        return "answers version ${read.version} to a read sent $age ms after ${due.version} was confirmed"
    }

    private fun findRollback(tables: CheckTables, read: ConfigurationRead): String? {
        val highest = tables.processes[read.process]?.highestRead?.takeIf { it.incarnation == read.incarnation }
        if (highest == null || read.version >= highest.version) return null
        return "answers version ${read.version} after it had answered ${highest.version}"
            .takeIf { read.sentAt - highest.at > rollbackSlackMillis(tables, read) }
    }

    private fun rollbackSlackMillis(tables: CheckTables, read: ConfigurationRead): Long {
        val isCalm = settings.isInTouch(tables, read.process, read.sentAt)
        return settings.rollbackSlackMillis * if (isCalm) 1 else DISTURBED_ROLLBACK_SLACK_FACTOR
    }

    private fun CheckTables.withRead(read: ConfigurationRead): CheckTables {
        val row = processes[read.process] ?: ProcessRow()
        val highest = row.highestRead
        val isHigher = highest == null || read.incarnation > highest.incarnation ||
            read.incarnation == highest.incarnation && read.version > highest.version
        return if (isHigher) copy(processes = processes.put(read.process, row.copy(highestRead = read))) else this
    }

    private fun checkService(tables: CheckTables, began: AttemptBegan): CheckStep {
        val request = tables.requestRunBy(began)?.sent
        val service = tables.attemptBegunBy(began)?.received?.service
        if (request == null || request.services.isEmpty() || service in request.services) return CheckStep(tables)
        val details = "route ${request.route} sent it to service $service, which no current configuration allows"
            .takeIf { settings.isInTouch(tables, request.router, request.at) }
        return checked(tables, Guarantee.CURRENT_CONFIGURATION, began.at, request.request, details)
    }
}
