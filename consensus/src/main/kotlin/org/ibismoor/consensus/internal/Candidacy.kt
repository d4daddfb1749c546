/**
 * A running election: the voters that granted their vote so far.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.core.api.ReplicaId

internal data class Candidacy(val isPreVote: Boolean, val granted: Set<ReplicaId>)
