/**
 * Result of [startControl].
 */
package org.ibismoor.control.api

import org.ibismoor.core.api.Finding

sealed interface StartResult

data class Started(val process: ControlProcess) : StartResult

/** The process cannot run with its settings; [findings] name each invalid setting and the remedy. */
data class Misconfigured(val findings: List<Finding>) : StartResult

/** The data folder must not be used; [problem] names the reason and the remedy. */
data class UnsafeFolder(val problem: String) : StartResult
