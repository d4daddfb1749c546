/**
 * Changes to the table of stream origins.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashSet
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.coordination.api.BegunStreams
import org.ibismoor.coordination.api.StreamEvidence
import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.coordination.api.StreamQuestion
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.StreamDigest
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.forwarding.api.AwaitingOrigin
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.StreamOriginTables
import java.security.MessageDigest
import java.util.HexFormat

/** 64 bits: a collision among the streams of a minute stays out of the question. */
private const val DIGEST_BYTES = 8

/** Longer than a caller goes on with a stream: routes time out after seconds. */
private const val RETENTION_MILLIS = 60_000L

/** Beyond this limit new streams are not remembered here. */
private const val MAXIMUM_ORIGINS = 16_384

/** Limits the size of a report; the rest follows with the next one. */
private const val MAXIMUM_REPORTED_STREAMS = 512

/** A separator that no identifier contains. */
private const val SEPARATOR = "\u0000"

/** Identity of the stream that the call [callId] of [organisation] began. */
internal fun streamDigestOf(organisation: OrganisationId?, callId: String): StreamDigest {
    val text = organisation?.text.orEmpty() + SEPARATOR + callId
    val bytes = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
    return StreamDigest(HexFormat.of().formatHex(bytes, 0, DIGEST_BYTES))
}

/** Identity of the stream that the caller of the request continues; null if it does not name its first call. */
internal val RequestRow.continuedStream: StreamDigest?
    get() = head.continuation?.firstCallId?.let { streamDigestOf(organisation, it) }

/**
 * Remembers the origin of [stream], and reports it to the leader if its group has several versions or [isSplit]: the
 * stream can have begun in several groups.
 */
internal fun ForwardingTables.withOrigin(
    stream: StreamDigest,
    origin: StreamOrigin,
    isSplit: Boolean,
    now: Timestamp,
): ForwardingTables {
    val isKnown = stream in streams.origins || streams.origins.size >= MAXIMUM_ORIGINS
    if (isKnown) return this
    val isReported = isSplit || origin.group in streams.mixedGroups
    val next = streams.copy(
        origins = streams.origins.put(stream, origin),
        expiry = streams.expiry.plus(now + RETENTION_MILLIS, stream),
        unreported = if (isReported) streams.unreported.add(stream) else streams.unreported,
    )
    return copy(streams = next)
}

internal fun StreamOriginTables.withoutAwaiting(number: RequestNumber): StreamOriginTables =
    if (number in awaiting) copy(awaiting = awaiting.remove(number)) else this

internal fun StreamOriginTables.withoutExpired(now: Timestamp): StreamOriginTables {
    val due = expiry.take(now)
    if (due.entries.isEmpty()) return this
    val left = due.entries.fold(origins) { table, entry -> table.remove(entry.id) }
    return copy(origins = left, expiry = due.rest, unreported = unreported.removeAll { it !in left })
}

/** Streams that began before their group had several versions are reported from now on too. */
internal fun StreamOriginTables.withMixedGroups(groups: List<UpstreamGroupId>): StreamOriginTables {
    val added = groups.filter { it !in mixedGroups }
    val streams = if (added.isEmpty()) emptyList() else origins.filterValues { it.group in added }.keys
    return copy(mixedGroups = groups.toPersistentHashSet(), unreported = unreported.addAll(streams))
}

/** Moves the streams of the next report to those in flight. */
internal fun StreamOriginTables.withReportSent(): StreamOriginTables {
    if (unreported.isEmpty()) return this
    val sent = unreported.take(MAXIMUM_REPORTED_STREAMS)
    val rest = unreported.drop(sent.size).toPersistentList()
    return copy(inReport = inReport.addAll(sent), unreported = rest)
}

internal fun StreamOriginTables.withReportLost(): StreamOriginTables =
    if (inReport.isEmpty()) this else copy(unreported = inReport.addAll(unreported), inReport = persistentListOf())

internal fun StreamOriginTables.withReportConfirmed(): StreamOriginTables =
    if (inReport.isEmpty()) this else copy(inReport = persistentListOf())

/** What the report after [withReportSent] tells and asks; null if that is nothing. */
internal fun streamEvidence(tables: ForwardingTables): StreamEvidence? {
    val streams = tables.streams
    val begun = streams.inReport.mapNotNull { stream -> streams.origins[stream]?.let { it to stream } }
        .groupBy({ it.first }, { it.second })
        .map { (origin, digests) -> BegunStreams(origin, digests) }
    val asked = streams.awaiting.mapNotNull(tables.requests::get)
        .filter { it.phase is AwaitingOrigin }
        .map { StreamQuestion(it.askedStream, it.group) }
        .distinct()
    return StreamEvidence(begun, asked).takeIf { it != StreamEvidence() }
}

/** A request that names no first call asks for its own identity, which no process knows. */
internal val RequestRow.askedStream: StreamDigest get() = continuedStream ?: ownStream

/** Identity of the stream that the request itself begins. */
internal val RequestRow.ownStream: StreamDigest get() = streamDigestOf(organisation, head.callId)

/** True if a stream of the request's route can have begun in several groups. */
internal val RequestRow.isSplit: Boolean get() = route.targets.size > 1

/** Streams are to be reported before the next ordinary report. */
internal val StreamOriginTables.isReportUrgent: Boolean
    get() = unreported.isNotEmpty() && mixedGroups.isNotEmpty()
