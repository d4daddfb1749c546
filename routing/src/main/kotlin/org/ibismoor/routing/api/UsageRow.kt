/**
 * Use of a rate limit by an organisation: thousandths of requests that it may still send, as of [at].
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.Timestamp

data class UsageRow(val allowance: Long, val at: Timestamp)
