/**
 * Contents of the answers of upstreams. They depend on the request alone, so that a stream which is resumed at another
 * upstream goes on where it broke off.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.platform.api.UpstreamAnswerFields
import org.ibismoor.soak.api.AnswerId
import org.ibismoor.soak.api.MadeAnswer
import org.ibismoor.soak.internal.OK
import org.ibismoor.soak.internal.digestOf

private const val MINIMUM_EVENTS = 3L
private const val EVENT_SPREAD = 10L

/** Prompt part on which engines crash while they have that trouble. */
internal const val CRASHING_PART = "c4a54e0d"

internal val AttemptRow.isStream: Boolean get() = prompt != null

internal fun answerFields(attempt: AttemptRow): UpstreamAnswerFields =
    UpstreamAnswerFields(attempt.callId, mark = "answer-${attempt.id.text}")

internal fun eventCount(callId: String): Long = MINIMUM_EVENTS + Math.floorMod(callId.hashCode().toLong(), EVENT_SPREAD)

internal fun eventText(callId: String, event: Long): String = "id: $event\ndata: $callId-$event\n\n"

internal fun bodyOf(attempt: AttemptRow): String =
    if (attempt.isStream) {
        (1..eventCount(attempt.callId)).joinToString("") { eventText(attempt.callId, it) }
    } else {
        "done ${attempt.callId} by ${attempt.id.text}"
    }

/** The whole answer, of a resumed stream too. */
internal fun madeAnswer(attempt: AttemptRow): MadeAnswer =
    MadeAnswer(
        answer = AnswerId("answer-${attempt.id.text}"),
        status = OK,
        bodyDigest = digestOf(bodyOf(attempt).encodeToByteArray()),
        events = if (attempt.isStream) (1..eventCount(attempt.callId)).toList() else emptyList(),
    )
