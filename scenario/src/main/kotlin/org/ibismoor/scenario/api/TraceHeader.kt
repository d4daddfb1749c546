/**
 * The first line of a trace: which scenario ran with which seed and settings.
 */
package org.ibismoor.scenario.api

import kotlinx.serialization.Serializable

@Serializable
data class TraceHeader(val version: Int, val scenario: String, val seed: Long, val settings: Map<String, String>)
