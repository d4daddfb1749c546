/**
 * Sender or receiver of messages: the VM named [vm] in the failure domain [domain].
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.FailureDomainId

internal data class Endpoint(val domain: FailureDomainId, val vm: String)
