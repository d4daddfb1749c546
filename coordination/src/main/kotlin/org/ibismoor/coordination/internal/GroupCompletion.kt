/**
 * Whether a group is still too small to keep what it confirms after the losses that it has to tolerate.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.core.api.Timestamp

/** True at a new leader that awaits members; it confirms no order of an operator meanwhile. */
internal fun CoordinationTables.isGroupGrowing(settings: CoordinationSettings, now: Timestamp): Boolean {
    val since = leadingSince ?: return false
    val voters = consensus.status().members.count { it.isVoter }
    val quorum = voters / 2 + 1
    return quorum <= settings.toleratedLosses && now - since < settings.groupCompletionMillis
}
