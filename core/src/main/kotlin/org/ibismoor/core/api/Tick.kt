/**
 * Input of one tick: the present time, the wall-clock time as information, and the messages that arrived since the
 * last tick, in order of arrival.
 */
package org.ibismoor.core.api

data class Tick<out M>(val now: Timestamp, val wallTime: WallTime, val messages: List<M>)
