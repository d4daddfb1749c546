/**
 * One connection through the proxy: a pump for each direction.
 */
package org.ibismoor.soak.internal.net

import io.netty.channel.Channel
import org.ibismoor.soak.internal.schedule.Disturbance

/** [source] is the host that opened the connection; null if it is none of the layout. */
internal class ProxiedConnection(
    val source: String?,
    val target: String,
    val front: Channel,
    private val onClosed: (ProxiedConnection) -> Unit,
) {
    private val requests = Pump(this)
    private val answers = Pump(this)
    private var isSilenced = false

    fun installFront() {
        front.pipeline().addLast(PumpHandler(this, requests))
    }

    fun installBack(back: Channel) {
        back.pipeline().addLast(PumpHandler(this, answers))
        requests.connect(from = front, to = back)
        answers.connect(from = back, to = front)
    }

    /** Called with the disturbances that have just begun. */
    fun begin(disturbances: Set<Disturbance>) {
        if (Disturbance.RESET in disturbances) reset()
        if (Disturbance.SILENCE in disturbances) isSilenced = true
    }

    /** Called with all disturbances that are active. */
    fun apply(disturbances: Set<Disturbance>) {
        val isDelayed = Disturbance.DELAY in disturbances
        val isSlow = Disturbance.SLOW in disturbances
        val areRequestsHeld = isSilenced || Disturbance.CUT_REQUESTS in disturbances
        val areAnswersHeld = isSilenced || Disturbance.CUT_ANSWERS in disturbances
        requests.apply(PumpSettings(areRequestsHeld, isDelayed, isSlow))
        answers.apply(PumpSettings(areAnswersHeld, isDelayed, isSlow, Disturbance.TRUNCATE in disturbances))
    }

    fun updateReading() {
        requests.updateReading()
        answers.updateReading()
    }

    fun reset() {
        requests.reset()
        answers.reset()
        resetChannel(front)
        onClosed(this)
    }

    /** Both directions have ended. */
    fun remove() = onClosed(this)
}
