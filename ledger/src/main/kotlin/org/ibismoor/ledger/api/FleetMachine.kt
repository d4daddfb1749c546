/**
 * Deterministic state machine of the replicated log. Every command is idempotent: applied again, it changes nothing.
 * Amounts are in budget tokens. Errors are results, never exceptions.
 */
package org.ibismoor.ledger.api

import org.ibismoor.ledger.internal.applyClaim
import org.ibismoor.ledger.internal.applyCompletion
import org.ibismoor.ledger.internal.applyIssues
import org.ibismoor.ledger.internal.applyMerge
import org.ibismoor.ledger.internal.applyPublication
import org.ibismoor.ledger.internal.applyRelease
import org.ibismoor.ledger.internal.applyReplacement

fun applyCommand(tables: FleetTables, command: FleetCommand): FleetStep =
    when (command) {
        is Publish -> applyPublication(tables, command)
        is MergeCharges -> applyMerge(tables, command)
        is IssueShares -> applyIssues(tables, command)
        is ClaimKey -> applyClaim(tables, command)
        is CompleteClaim -> applyCompletion(tables, command)
        is ReleaseClaim -> applyRelease(tables, command)
        is ReplaceReplica -> applyReplacement(tables, command)
    }
