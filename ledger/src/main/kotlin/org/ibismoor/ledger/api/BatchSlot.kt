/**
 * Position of a request in a batch, and of its answer in the answer to the batch.
 */
package org.ibismoor.ledger.api

data class BatchSlot(val batch: Long, val position: Int)
