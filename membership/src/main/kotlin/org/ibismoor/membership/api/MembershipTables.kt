/**
 * State of the membership machine of one control process: routers, upstreams, the summaries of other domains, the
 * configuration with its last deltas, and the platform's list of leaving VMs.
 */
package org.ibismoor.membership.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.WallTime

/**
 * [deltas] are keyed by their base, and [deltaBases] gives the base of each by its count. [highestReported] is the
 * highest configuration number that any router reported here; no lower configuration is served. Versions start at
 * [firstVersion], which differs between replicas and runs, so that a router that switches to another control process
 * does not mistake an old version for a current one.
 */
data class MembershipTables(
    val replica: ReplicaId,
    val firstVersion: Long,
    val configuration: ConfigurationTables = ConfigurationTables(),
    val deltas: PersistentMap<ConfigurationNumber, ConfigurationDelta> = persistentHashMapOf(),
    val deltaBases: PersistentMap<Long, ConfigurationNumber> = persistentHashMapOf(),
    val deltaCount: Long = 0,
    val highestReported: ConfigurationNumber = ConfigurationNumber.NONE,
    val inForce: InForce? = null,
    val routers: PersistentMap<RouterId, RouterEntry> = persistentHashMapOf(),
    val routerListVersion: Long = firstVersion,
    val upstreams: PersistentMap<UpstreamId, UpstreamEntry> = persistentHashMapOf(),
    val reportVersion: Long = firstVersion,
    val domains: PersistentMap<FailureDomainId, DomainEntry> = persistentHashMapOf(),
    val leavingNames: PersistentSet<String> = persistentHashSetOf(),
    val due: DueQueue<RouterId> = DueQueue.empty(),
    val summaryDue: Timestamp,
    val summarySequence: Long = 0,
)

/** The highest configuration number that every live router has reported, and when this process detected it. */
data class InForce(val number: ConfigurationNumber, val at: WallTime)

/**
 * A live router. [source] is the domain whose control process receives its heartbeats; [configuration] is the number
 * that it reported here, or null if its heartbeats go to another domain.
 */
data class RouterEntry(
    val row: RouterRow,
    val source: FailureDomainId,
    val lastContactAt: Timestamp,
    val configuration: ConfigurationNumber? = null,
)

/**
 * An upstream with its last [report], received at [receivedAt]. While it [isLeaving], [leavingStartId] is the start
 * identifier of the leaving run, or null if there was no report when the platform listed it. [isOwn] is set if this
 * process polls the upstream. [version] is the report version of the last change.
 */
data class UpstreamEntry(
    val report: UpstreamReport? = null,
    val receivedAt: Timestamp,
    val isLeaving: Boolean = false,
    val leavingStartId: String? = null,
    val isOwn: Boolean = false,
    val version: Long,
)

/** The last summary of another domain. */
data class DomainEntry(
    val replica: ReplicaId,
    val sequence: Long,
    val lastContactAt: Timestamp,
    val lowestConfiguration: ConfigurationNumber?,
)
