/**
 * One line of a trace: what happened [at] that many milliseconds after the start.
 */
package org.ibismoor.scenario.api

import kotlinx.serialization.Serializable

@Serializable
data class TraceLine(val at: Long, val kind: TraceKind, val text: String)
