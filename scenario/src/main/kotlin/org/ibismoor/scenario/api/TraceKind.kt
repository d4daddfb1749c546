/**
 * Kinds of lines in a trace.
 */
package org.ibismoor.scenario.api

import kotlinx.serialization.Serializable

@Serializable
enum class TraceKind { FAULT, CALL, DECISION, OUTCOME, VIOLATION }
