/**
 * A guarantee that the fleet has broken, as a check found it.
 */
package org.ibismoor.soak.api

import org.ibismoor.core.api.Timestamp

data class Violation(
    val guarantee: Guarantee,
    val at: Timestamp,
    /** Null if the violation concerns no single request. */
    val request: SoakRequestId?,
    /** What was seen and what was expected, in one sentence. */
    val details: String,
)

enum class Guarantee {
    BUDGET,
    OWN_WHOLE_ANSWER,
    BILLED_ONCE,
    TRUE_REFUSAL,
    AT_MOST_ONCE,
    NO_FALSE_REFUSAL,
    DURABLE_CONFIGURATION,
    CURRENT_CONFIGURATION,
    REVOKED_KEY,
    DRAIN,
    RETRY_BUDGET,
    QUARANTINE,
    STABLE_PROCESS,
    RECOVERY,
}
