/**
 * What the control thread of a soak asks the other threads to do.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Timestamp
import org.ibismoor.platform.api.CallFields
import org.ibismoor.platform.api.UpstreamAnswerFields
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.api.SoakAttemptId
import org.ibismoor.soak.api.SoakRequestId
import org.ibismoor.soak.internal.schedule.DisturbLink

internal sealed interface SoakEffect

internal data class Observe(val observation: Observation) : SoakEffect

internal data class StartProcess(val process: ProcessName, val isFirstStart: Boolean, val isDiskLost: Boolean) :
    SoakEffect

internal data class SignalProcess(val process: ProcessName, val signal: ProcessSignal) : SoakEffect

internal enum class ProcessSignal { TERM, KILL, STOP, CONT }

internal data class LookUpRouters(val domain: String, val address: String) : SoakEffect

internal data class SendCall(
    val caller: Int,
    val request: SoakRequestId,
    val address: String,
    val path: String,
    val fields: CallFields,
    /** Time after which the caller gives up. */
    val patienceMillis: Long,
    val isNewConnection: Boolean,
) : SoakEffect

internal data class PublishConfiguration(val publication: Int, val address: String, val document: String) : SoakEffect

internal data class ReadConfiguration(val address: String, val sentAt: Timestamp) : SoakEffect

internal data class WriteAttempt(val attempt: SoakAttemptId, val output: UpstreamOutput) : SoakEffect

internal sealed interface UpstreamOutput

/** An answer with a length, written [copies] times. */
internal data class PlainAnswer(
    val status: Int,
    val fields: UpstreamAnswerFields,
    val body: String,
    val copies: Int = 1,
) : UpstreamOutput

/** Head of an answer without a length. */
internal data class StreamHead(val fields: UpstreamAnswerFields) : UpstreamOutput

internal data class StreamPart(val text: String) : UpstreamOutput

internal data object StreamEnd : UpstreamOutput

internal data object CloseConnection : UpstreamOutput

/** Closes the listening address and all connections of an upstream. */
internal data class CloseUpstream(val slot: String) : SoakEffect

internal data class OpenUpstream(val slot: String) : SoakEffect

internal data class SetLinkFaults(val links: List<DisturbLink>) : SoakEffect

internal data class SetListPage(val page: String) : SoakEffect

internal data object EndSoak : SoakEffect
