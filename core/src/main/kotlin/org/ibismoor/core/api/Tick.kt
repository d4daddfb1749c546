/**
 * Input of one tick: the current time, the wall-clock time (informational only), and the messages received since the
 * last tick, in order of arrival.
 */
package org.ibismoor.core.api

data class Tick<out M>(val now: Timestamp, val wallTime: WallTime, val messages: List<M>)
