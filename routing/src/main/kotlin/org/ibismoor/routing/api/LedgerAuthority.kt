/**
 * The control process that a ledger request is addressed to.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.FailureDomainId

data class LedgerAuthority(val domain: FailureDomainId)
