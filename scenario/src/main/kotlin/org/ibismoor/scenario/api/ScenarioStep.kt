/**
 * What can happen in a scenario. A process is named by its failure domain, and a router also by its number in it.
 */
package org.ibismoor.scenario.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.UpstreamId

sealed interface ScenarioStep

/**
 * An operator publishes the declared configuration, with [marker] as the name of one more organisation if it is given,
 * under [number], or the next number if that is null, at the control process of [domain].
 */
data class PublishStep(val domain: FailureDomainId, val number: Long? = null, val marker: String? = null) :
    ScenarioStep

/** An operator declares one more grant and publishes under the next number at the control process of [domain]. */
data class TopUpStep(val domain: FailureDomainId, val budget: BudgetId, val grant: GrantId, val tokens: Long) :
    ScenarioStep

/** A caller in [domain] sends a request and retries it with the same key at other routers after a failure. */
data class CallStep(val call: Call, val domain: FailureDomainId) : ScenarioStep

/** No message passes from [from] to [to]. */
data class CutStep(val from: FailureDomainId, val to: FailureDomainId) : ScenarioStep

/** From now on the network behaves as [settings] say. */
data class NetworkStep(val settings: NetworkSettings) : ScenarioStep

/** No message passes to or from the VM of the process named [process]: a failure domain or a router's identifier. */
data class IsolateStep(val process: String) : ScenarioStep

/** The platform lists [upstream] as leaving. */
data class LeaveStep(val upstream: UpstreamId) : ScenarioStep

/** All cuts and isolations end. */
data object HealStep : ScenarioStep

/** Something happens to the control process of [domain]. */
data class ControlStep(val domain: FailureDomainId, val action: ProcessAction) : ScenarioStep

/** Something happens to router [number] of [domain], counted from 1. */
data class RouterStep(val domain: FailureDomainId, val number: Int, val action: ProcessAction) : ScenarioStep
