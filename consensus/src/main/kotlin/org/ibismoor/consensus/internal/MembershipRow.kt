/**
 * The members in force from the entry at [MembershipRow.index] on.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusMember

internal data class MembershipRow(val index: Long, val members: List<ConsensusMember>)
