/**
 * Verbs of the scenario language: what happens at one time.
 */
package org.ibismoor.scenario.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.UpstreamId

@Suppress("TooManyFunctions") // one verb of the language for each step
class StepBuilder internal constructor(private val domains: List<String>) {
    internal val steps = mutableListOf<ScenarioStep>()

    /** Publishes what is declared at the control process of [domain]. */
    fun publish(domain: String, number: Long? = null, marker: String? = null) {
        steps += PublishStep(FailureDomainId(domain), number, marker)
    }

    /** Declares a grant and publishes it at the control process of [domain]. */
    fun topUp(domain: String, budget: String, grant: String, tokens: Long) {
        steps += TopUpStep(FailureDomainId(domain), BudgetId(budget), GrantId(grant), tokens)
    }

    /** Sends [call] from a caller in [domain]. */
    fun call(domain: String, call: Call) {
        steps += CallStep(call, FailureDomainId(domain))
    }

    /** Cuts [group] off from all other failure domains, both ways. */
    fun isolate(vararg group: String) {
        for (inside in group) for (outside in domains - group.toSet()) cut(inside, outside)
    }

    /** Cuts the connection between two failure domains, both ways. */
    fun cut(one: String, other: String) {
        cutOneWay(one, other)
        cutOneWay(other, one)
    }

    /** Lets no message pass from [from] to [to]. */
    fun cutOneWay(from: String, to: String) {
        steps += CutStep(FailureDomainId(from), FailureDomainId(to))
    }

    /** Isolates the VM of one process: a control process by its domain's name, a router by its identifier. */
    fun isolateVm(process: String) {
        steps += IsolateStep(process)
    }

    /** Changes how messages travel between failure domains. */
    fun network(settings: NetworkSettings) {
        steps += NetworkStep(settings)
    }

    /** Lists [upstream] as leaving at the platform. */
    fun leave(upstream: String) {
        steps += LeaveStep(UpstreamId(upstream))
    }

    /** Ends all cuts and isolations. */
    fun heal() {
        steps += HealStep
    }

    /** Does [action] to the control process of [domain]. */
    fun control(domain: String, action: ProcessAction) {
        steps += ControlStep(FailureDomainId(domain), action)
    }

    /** Does [action] to a router of [domain], counted from 1. */
    fun router(domain: String, number: Int, action: ProcessAction) {
        steps += RouterStep(FailureDomainId(domain), number, action)
    }
}
