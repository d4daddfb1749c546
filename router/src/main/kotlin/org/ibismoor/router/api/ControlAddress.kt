/**
 * Base URL of the control process of a failure domain.
 */
package org.ibismoor.router.api

import org.ibismoor.core.api.FailureDomainId

data class ControlAddress(val domain: FailureDomainId, val baseUrl: String)
