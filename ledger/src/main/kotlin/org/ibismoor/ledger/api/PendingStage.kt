/**
 * What a pending request waits for: a larger share, or the decision of the quorum on its claim.
 */
package org.ibismoor.ledger.api

enum class PendingStage { SHARE, CLAIM }
