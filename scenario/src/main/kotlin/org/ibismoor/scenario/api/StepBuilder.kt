/**
 * Builder DSL for the steps that happen at one time.
 */
package org.ibismoor.scenario.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.UpstreamId

@Suppress("TooManyFunctions") // one function for each kind of step
class StepBuilder internal constructor(private val domains: List<String>) {
    internal val steps = mutableListOf<ScenarioStep>()

    /** Publishes the declared configuration at the control process of [domain]; see [PublishStep]. */
    fun publish(domain: String, number: Long? = null, marker: String? = null) {
        steps += PublishStep(FailureDomainId(domain), number, marker)
    }

    /** Adds a grant to a budget and publishes it at the control process of [domain]. */
    fun topUp(domain: String, budget: String, grant: String, tokens: Long) {
        steps += TopUpStep(FailureDomainId(domain), BudgetId(budget), GrantId(grant), tokens)
    }

    /** Sends [call] from a caller in [domain]. */
    fun call(domain: String, call: Call) {
        steps += CallStep(call, FailureDomainId(domain))
    }

    /** Cuts all connections between [group] and the other failure domains, in both directions. */
    fun isolate(vararg group: String) {
        for (inside in group) for (outside in domains - group.toSet()) cut(inside, outside)
    }

    /** Cuts the connection between two failure domains, in both directions. */
    fun cut(one: String, other: String) {
        cutOneWay(one, other)
        cutOneWay(other, one)
    }

    /** Drops every message from [from] to [to]. */
    fun cutOneWay(from: String, to: String) {
        steps += CutStep(FailureDomainId(from), FailureDomainId(to))
    }

    /** Isolates the VM of a control process, named by its failure domain, or of a router, named by its identifier. */
    fun isolateVm(process: String) {
        steps += IsolateStep(process)
    }

    /** Changes delay, loss and duplication of messages. */
    fun changeNetwork(settings: NetworkSettings) {
        steps += NetworkStep(settings)
    }

    /** Puts [upstream] on the platform's list of leaving VMs. */
    fun markLeaving(upstream: String) {
        steps += LeaveStep(UpstreamId(upstream))
    }

    /** Ends all cuts and isolations. */
    fun heal() {
        steps += HealStep
    }

    /** Applies [action] to the control process of [domain]. */
    fun applyToControl(domain: String, action: ProcessAction) {
        steps += ControlStep(FailureDomainId(domain), action)
    }

    /** Applies [action] to router [number] of [domain], counted from 1. */
    fun applyToRouter(domain: String, number: Int, action: ProcessAction) {
        steps += RouterStep(FailureDomainId(domain), number, action)
    }
}
