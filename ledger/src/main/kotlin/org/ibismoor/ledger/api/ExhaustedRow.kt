/**
 * A budget that could not cover a waiting request of any replica: at most [free] tokens were unreserved while the
 * total of granted, spent and voided tokens was [counted]. It holds until [until].
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.Timestamp

data class ExhaustedRow(val free: Long, val counted: Long, val until: Timestamp)
