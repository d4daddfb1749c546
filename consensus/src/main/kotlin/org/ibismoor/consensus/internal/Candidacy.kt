/**
 * State of a pre-vote or election of this replica.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.core.api.ReplicaId

internal data class Candidacy(val isPreVote: Boolean, val grantedBy: Set<ReplicaId>)
