/**
 * One line of a trace. [at] is the time in milliseconds from the start.
 */
package org.ibismoor.scenario.api

import kotlinx.serialization.Serializable

@Serializable
data class TraceLine(val at: Long, val kind: TraceKind, val text: String)
