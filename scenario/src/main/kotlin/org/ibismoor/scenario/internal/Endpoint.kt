/**
 * Where messages start and end: the VM named [vm] in [domain].
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.FailureDomainId

internal data class Endpoint(val domain: FailureDomainId, val vm: String)
