/**
 * Publishes a set to the leader of the control processes. It asks the given processes in turn, follows the leader
 * that they name, and sends the same set again after a lost answer, which is safe because number and content decide.
 */
package org.ibismoor.operator.api

import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.declarations.api.PublicationMisdirected
import org.ibismoor.declarations.api.PublicationOpen

/** Attempts in a row; with the pause between them they outlast several elections. */
private const val MAXIMUM_ATTEMPTS = 40

class Publisher(private val port: ControlPort, private val pause: () -> Unit) {
    /** Publishes to one of [controls], which is not empty. */
    fun publish(controls: List<String>, publication: Publication): PublishOutcome {
        var url = controls.first()
        for (attempt in 1..MAXIMUM_ATTEMPTS) {
            val answer = port.publish(url, publication)
            if (answer != null && isFinal(answer)) return Decided(answer)
            val leader = (answer as? PublicationMisdirected)?.leader?.takeIf { it != url }
            if (leader == null) pause()
            url = leader ?: controls[attempt % controls.size]
        }
        return Undecided("no control process decided after $MAXIMUM_ATTEMPTS attempts")
    }

    private fun isFinal(answer: PublicationAnswer): Boolean =
        answer !is PublicationMisdirected && answer !is PublicationOpen
}
