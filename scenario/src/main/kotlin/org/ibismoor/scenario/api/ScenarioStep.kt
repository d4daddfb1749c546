/**
 * Steps of a scenario: calls, faults and operations. The `toString` of a step is the text of its trace line.
 */
package org.ibismoor.scenario.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.UpstreamId

sealed interface ScenarioStep

/**
 * An operator publishes the declared configuration at the control process of [domain] under [number], or under the next
 * number if it is null. A [marker] adds an organisation of that name, so that the content differs.
 */
data class PublishStep(val domain: FailureDomainId, val number: Long? = null, val marker: String? = null) :
    ScenarioStep

/** An operator adds a grant to the declared budget and publishes at the control process of [domain]. */
data class TopUpStep(val domain: FailureDomainId, val budget: BudgetId, val grant: GrantId, val tokens: Long) :
    ScenarioStep

/** A caller in [domain] sends a request and, after a failure, retries it with the same key at other routers. */
data class CallStep(val call: Call, val domain: FailureDomainId) : ScenarioStep

/** The network drops every message from [from] to [to]. */
data class CutStep(val from: FailureDomainId, val to: FailureDomainId) : ScenarioStep

/** The network changes to [settings]. */
data class NetworkStep(val settings: NetworkSettings) : ScenarioStep

/** Isolates the VM of a process from the network. [process] is the name of a failure domain or of a router. */
data class IsolateStep(val process: String) : ScenarioStep

/** The platform lists [upstream] as leaving. */
data class LeaveStep(val upstream: UpstreamId) : ScenarioStep

/** All cuts and isolations end. */
data object HealStep : ScenarioStep

/** Applies [action] to the control process of [domain]. */
data class ControlStep(val domain: FailureDomainId, val action: ProcessAction) : ScenarioStep

/** Applies [action] to router [number] of [domain], counted from 1. */
data class RouterStep(val domain: FailureDomainId, val number: Int, val action: ProcessAction) : ScenarioStep
