/**
 * What the checks remember of a soak. Rows leave the tables once no later observation can refer to them, so the size
 * depends on the load and not on the length of the run.
 */
package org.ibismoor.soak.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Table
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId

data class CheckTables(
    /** Latest time of a tick or an observation. */
    val now: Timestamp,
    val requests: Table<SoakRequestId, RequestRow> = persistentHashMapOf(),
    val attempts: Table<SoakAttemptId, AttemptRow> = persistentHashMapOf(),
    /** Request that each answer of an upstream belongs to. */
    val answers: Table<AnswerId, SoakRequestId> = persistentHashMapOf(),
    val organisations: Table<OrganisationId, OrganisationRow> = persistentHashMapOf(),
    /** By version. */
    val configurations: Table<Long, ConfigurationRow> = persistentHashMapOf(),
    /** Versions up to this one have been removed from [configurations]. */
    val forgottenVersion: Long = Long.MIN_VALUE,
    val processes: Table<ProcessName, ProcessRow> = persistentHashMapOf(),
    /** Active faults and the processes that they affect. */
    val faults: Table<Int, Set<ProcessName>> = persistentHashMapOf(),
    /** Last begin or end of a fault, or start or end of a process; null before the first. */
    val disturbedAt: Timestamp? = null,
    /** A fault has begun or a process has ended in this run. */
    val hasHadFaults: Boolean = false,
    /** Leaving upstreams and the time at which the upstream list first showed it. */
    val leavingUpstreams: Table<UpstreamId, Timestamp> = persistentHashMapOf(),
    /** Prompt parts that have crashed an upstream. */
    val promptParts: Table<String, PromptPartRow> = persistentHashMapOf(),
    /** By service. */
    val retries: Table<String, RetryRow> = persistentHashMapOf(),
    val recoverySample: RecoverySampleRow? = null,
    /** How often each guarantee was put to the test. */
    val exercised: Table<Guarantee, Long> = persistentHashMapOf(),
    val due: DueTables = DueTables(),
)

/** Work that is due at a time. */
data class DueTables(
    val answers: DueQueue<SoakRequestId> = DueQueue.empty(),
    val settlements: DueQueue<SoakRequestId> = DueQueue.empty(),
    val retryWindows: DueQueue<RetryWindow> = DueQueue.empty(),
    val requestExpiries: DueQueue<SoakRequestId> = DueQueue.empty(),
)

data class RequestRow(
    val sent: RequestSent,
    val expiresAt: Timestamp,
    val attempts: PersistentList<SoakAttemptId> = persistentListOf(),
    /** Attempts that an upstream began to work on. */
    val runs: Int = 0,
    /** Null while the request is open. */
    val end: RequestEnded? = null,
) {
    /** Null while the request is open and if the caller left. */
    val answer: AnswerEnded? get() = end as? AnswerEnded
}

data class AttemptRow(
    val received: AttemptReceived,
    val began: AttemptBegan? = null,
    val finished: AttemptFinished? = null,
)

/** Tokens are those of the whole run of the soak. */
data class OrganisationRow(
    /** Highest budget that was sent; null if none was. */
    val highestBudget: Long? = null,
    val confirmedBudget: BudgetSet? = null,
    /** Prompt tokens of the requests that ran, once for each, and delivered completion tokens. */
    val spentTokens: Long = 0,
    /** Maximum tokens of the requests that are not settled yet. */
    val unsettledTokens: Long = 0,
    val keyRevokedAt: Timestamp? = null,
)

data class ConfigurationRow(
    /** More than one if operators sent different contents under the same version. */
    val digests: PersistentSet<String> = persistentHashSetOf(),
    /** Content that was read back under this version. */
    val readDigest: String? = null,
    val confirmedAt: Timestamp? = null,
)

data class ProcessRow(
    val startedAt: Timestamp? = null,
    val activeFaults: PersistentSet<Int> = persistentHashSetOf(),
    /** Last begin or end of a fault on the process, or start or end of it. */
    val disturbedAt: Timestamp? = null,
    /** Highest configuration that the current incarnation has answered with. */
    val highestRead: ConfigurationRead? = null,
)

data class PromptPartRow(
    /** Crashes at different moments. */
    val crashes: Int,
    val lastCrashAt: Timestamp,
    /** Answers that began on other prompts since the first crash. */
    val otherAnswers: Int = 0,
    /** Time from which the part counts as identified; null before. */
    val identifiedAt: Timestamp? = null,
    val lastArrivalAt: Timestamp? = null,
)

data class RetryRow(
    val requests: WindowCounts = WindowCounts(),
    val retries: WindowCounts = WindowCounts(),
    val reportedAt: Timestamp? = null,
)

/** A window of the retry budget of [service] that ends with [lastBucket]. */
data class RetryWindow(val service: String, val lastBucket: Long)

/** Proper requests that were sent from [start] on while no fault was active. */
data class RecoverySampleRow(val start: Timestamp, val sent: Int = 0, val served: Int = 0)
