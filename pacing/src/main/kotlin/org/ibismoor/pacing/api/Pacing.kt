/**
 * Applies events to the pace of an upstream.
 *
 * Load pattern: upstreams that start or recover, one or a whole service, while up to a hundred routers ramp up their
 * requests without knowledge of each other.
 */
package org.ibismoor.pacing.api

import org.ibismoor.core.api.Timestamp
import org.ibismoor.pacing.internal.seedOf
import org.ibismoor.pacing.internal.withAnswer
import org.ibismoor.pacing.internal.withDecrease
import org.ibismoor.pacing.internal.withRamp
import org.ibismoor.pacing.internal.withSend

/** Seed of the random choices of the router at [router] for one upstream. */
fun paceSeedOf(router: String, upstream: String): Long = seedOf("$upstream $router")

/** The row after [event] at [now]. [shared] are the slots of the upstream and the routers that share them. */
fun PaceRow.after(event: PaceEvent, shared: SharedSlots, settings: PaceSettings, now: Timestamp): PaceRow =
    when (event) {
        is PaceEvent.Sent -> withSend(now)
        is PaceEvent.Answered -> withAnswer(event, shared, settings, now)
        is PaceEvent.Refused -> withDecrease(event.active, shared, settings, now)
        is PaceEvent.Lost -> withDecrease(event.active, shared, settings, now)
        is PaceEvent.BecameCold -> withCold(event.remainingMillis, now)
        is PaceEvent.Returned -> withRamp(shared, settings, now).withCold(event.coldMillis, now)
    }

/** A cold time that is reported later never shortens one that is known, since reports arrive with different delays. */
private fun PaceRow.withCold(remainingMillis: Long, now: Timestamp): PaceRow =
    if (remainingMillis <= 0) this else copy(coldUntil = maxOf(now + remainingMillis, coldUntil ?: now))
