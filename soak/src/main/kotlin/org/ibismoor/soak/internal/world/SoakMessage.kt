/**
 * What reaches the control thread of a soak.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Timestamp
import org.ibismoor.platform.api.AttemptFields
import org.ibismoor.platform.api.DirectoryAnswer
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.api.SoakAttemptId
import org.ibismoor.soak.api.SoakRequestId

internal sealed interface SoakMessage

internal data object SoakStarted : SoakMessage

internal data class WorkDue(val work: DueWork) : SoakMessage

internal data class ProcessExited(val process: ProcessName, val exitCode: Int) : SoakMessage

internal data class DirectoryAnswered(val domain: String, val answer: DirectoryAnswer?) : SoakMessage

internal data class CallEnded(val caller: Int, val request: SoakRequestId, val end: CallEnd) : SoakMessage

/** [status] is null if the connection failed before a status line. */
internal data class CallEnd(
    val status: Int?,
    val answer: String?,
    val isComplete: Boolean,
    val bodyDigest: String,
    val events: List<Long>,
    val retryAfterMillis: Long?,
    /** The caller gave up. */
    val isTimedOut: Boolean,
    val isConnectionOpen: Boolean,
)

internal data class PublicationAnswered(val publication: Int, val status: Int?) : SoakMessage

/** [control] is the control process that answered in the end, after redirections. */
internal data class ConfigurationAnswered(
    val control: ProcessName,
    val sentAt: Timestamp,
    /** Null if the process did not answer with a configuration. */
    val version: Long?,
    val digest: String,
) : SoakMessage

internal data class AttemptArrived(
    val attempt: SoakAttemptId,
    val slot: String,
    val path: String,
    val fields: AttemptFields,
) : SoakMessage

/** The router closed the connection of an attempt. */
internal data class AttemptAbandoned(val attempt: SoakAttemptId) : SoakMessage
