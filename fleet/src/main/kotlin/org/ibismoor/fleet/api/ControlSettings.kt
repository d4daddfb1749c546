/**
 * Settings of a control replica. A snapshot is written after [snapshotEntries] entries or [snapshotCharacters]
 * characters of commands, whichever comes first; the log of the domain ledger is compacted after [ledgerRecords]
 * records.
 */
package org.ibismoor.fleet.api

import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.demandWeightedSizing
import org.ibismoor.membership.api.MembershipSettings

private const val DEFAULT_SNAPSHOT_ENTRIES = 2_000
private const val DEFAULT_SNAPSHOT_CHARACTERS = 8_000_000L
private const val DEFAULT_LEDGER_RECORDS = 50_000

data class ControlSettings(
    val snapshotEntries: Int = DEFAULT_SNAPSHOT_ENTRIES,
    val snapshotCharacters: Long = DEFAULT_SNAPSHOT_CHARACTERS,
    val ledgerRecords: Int = DEFAULT_LEDGER_RECORDS,
    /** A replica that lags while a snapshot of the largest fleet reaches it still finds the entries after it. */
    val consensus: ConsensusSettings = ConsensusSettings(retainedCharacters = DEFAULT_SNAPSHOT_CHARACTERS),
    val ledger: DomainLedgerSettings = DomainLedgerSettings(),
    val membership: MembershipSettings = MembershipSettings(),
    val shareSizing: ShareSizingPolicy = demandWeightedSizing(),
)
