/**
 * Result of starting a control process.
 */
package org.ibismoor.control.api

import org.ibismoor.core.api.Finding

sealed interface StartResult

data class Started(val process: ControlProcess) : StartResult

/** The process cannot run with its settings, for the stated [findings]. */
data class Misconfigured(val findings: List<Finding>) : StartResult

/** The data folder must not be used; [problem] says why and what to do. */
data class UnsafeFolder(val problem: String) : StartResult
