/**
 * State of the record of spending limits on the router's disk. A router that has a disk spends tokens only within
 * limits that are synced there. After a crash the leader then knows how much of the tokens that it held may be spent.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.coordination.api.EndedSession
import org.ibismoor.coordination.api.SpendingRecording
import org.ibismoor.core.api.Timestamp

data class SpendingRow(
    val recording: SpendingRecording = SpendingRecording.NONE,
    /** Start of the write in flight; null if there is none. */
    val writingSince: Timestamp? = null,
    /** Earlier sessions on the disk. */
    val endedSessions: List<EndedSession> = emptyList(),
    /** The report in flight tells the leader that recording has stopped. */
    val isStopReported: Boolean = false,
    /** The leader has confirmed that recording has stopped, so the limits no longer hold. */
    val isStopConfirmed: Boolean = false,
) {
    /** True while the session may not spend beyond its recorded limits. */
    val isLimited: Boolean get() = recording != SpendingRecording.NONE && !isStopConfirmed
}
