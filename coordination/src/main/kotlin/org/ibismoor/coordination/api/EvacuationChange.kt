/**
 * An operator's order on one failure domain in the replicated log. The last order in the log takes effect.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.FailureDomainId

@Serializable
data class EvacuationChange(val domain: FailureDomainId, val isEvacuated: Boolean)
