/**
 * Publishes a declaration set to the leader of the control processes. It tries the given processes in turn, follows
 * redirects to the leader, and sends the same set again after a lost answer. Sending it again is safe because a
 * publication is identified by its number and content.
 */
package org.ibismoor.operator.api

import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.declarations.api.PublicationMisdirected
import org.ibismoor.declarations.api.PublicationOpen

/** With the pause between attempts, this many attempts outlast several leader elections. */
private const val MAXIMUM_ATTEMPTS = 40

class Publisher(private val port: ControlPort, private val pause: () -> Unit) {
    /** [controlUrls] must not be empty. */
    fun publish(controlUrls: List<String>, publication: Publication): PublishOutcome {
        var url = controlUrls.first()
        for (attempt in 1..MAXIMUM_ATTEMPTS) {
            val answer = port.publish(url, publication)
            if (answer != null && isFinal(answer)) return DecidedPublication(answer)
            val leader = (answer as? PublicationMisdirected)?.leader?.takeIf { it != url }
            if (leader == null) pause()
            url = leader ?: controlUrls[attempt % controlUrls.size]
        }
        return UndecidedPublication(
            "no decision on publication ${publication.number} from ${controlUrls.joinToString()} " +
                "after $MAXIMUM_ATTEMPTS attempts"
        )
    }

    private fun isFinal(answer: PublicationAnswer): Boolean =
        answer !is PublicationMisdirected && answer !is PublicationOpen
}
