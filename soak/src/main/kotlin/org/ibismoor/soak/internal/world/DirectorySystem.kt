/**
 * Callers of each failure domain ask the nearest VMs for routers, and keep an answer for its lifetime.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.soak.internal.FLEET_PORTS

private const val RETRY_MILLIS = 300L

internal class DirectorySystem : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep =
        forEachMessage(tables, tick) { current, message ->
            val work = (message as? WorkDue)?.work
            when {
                message is SoakStarted -> foldSteps(current, current.directories.keys, ::lookUp)
                message is DirectoryAnswered -> store(current, message, tick.now)
                work is DirectoryDue -> lookUp(current, work.domain)
                else -> Step(current)
            }
        }

    private fun lookUp(tables: SoakTables, domain: String): SoakStep {
        val row = tables.directories.getValue(domain)
        val nearestFirst = tables.layout.vms.sortedBy { tables.layout.domainOf(it) != domain }
        val vm = nearestFirst[row.lookups % nearestFirst.size]
        val address = "${tables.layout.publicHost(vm)}:${FLEET_PORTS.directory}"
        return Step(tables, listOf(LookUpRouters(domain, address)))
    }

    /** After a failure, the next VM is asked; without a new answer the old one stays in use. */
    private fun store(tables: SoakTables, message: DirectoryAnswered, now: Timestamp): SoakStep {
        val row = tables.directories.getValue(message.domain)
        val answer = message.answer
        val next = if (answer == null) row.copy(lookups = row.lookups + 1) else DirectoryRow(answer.addresses)
        val delay = answer?.lifetimeMillis ?: RETRY_MILLIS
        val stored = tables.copy(directories = tables.directories.put(message.domain, next))
        return Step(stored.at(now + delay, DirectoryDue(message.domain)))
    }
}
