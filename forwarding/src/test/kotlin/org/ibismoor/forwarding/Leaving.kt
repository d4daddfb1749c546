/**
 * An answer of the leader that marks an upstream as leaving.
 */
package org.ibismoor.forwarding

import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ReportAnswered

internal fun upstreamListWithLeaving(name: String, revision: Long): ForwardingMessage {
    val upstreams = upstreams().map { if (it.id.text == name) it.copy(isLeaving = true) else it }
    return ReportAnswered(
        ReportAnswer(true, null, emptyList(), upstreams = UpstreamList(revision, upstreams)),
        configuration = null,
    )
}
