/**
 * Position of a request in a batch.
 */
package org.ibismoor.ledger.api

data class BatchSlot(val batch: Long, val position: Int)
