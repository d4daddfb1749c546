/**
 * What a pending request waits for: a larger share, or the quorum's answer to its claim.
 */
package org.ibismoor.ledger.api

enum class PendingStage { SHARE, CLAIM }
