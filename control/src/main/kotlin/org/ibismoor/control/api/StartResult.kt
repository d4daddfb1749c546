/**
 * Result of starting a control process.
 */
package org.ibismoor.control.api

sealed interface StartResult

data class Started(val process: ControlProcess) : StartResult

/** The data folder must not be used; [problem] says why and what to do. */
data class UnsafeFolder(val problem: String) : StartResult
