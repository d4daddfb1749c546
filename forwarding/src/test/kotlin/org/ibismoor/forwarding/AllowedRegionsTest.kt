package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.coordination.api.EvacuationList
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RegionId
import org.ibismoor.core.api.RouterId
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.CallerPlace
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.isOffered

private val NORTH = FailureDomainId("north")
private val SOUTH = FailureDomainId("south")
private val WEST = FailureDomainId("west")
private val COAST = RegionId("coast")
private val INLAND = RegionId("inland")
private val REGIONS = mapOf(NORTH to COAST, SOUTH to INLAND)
private val LOST = AnswerLost("reset", events = 0, isAnswerStarted = false, isResumable = false)

/** One upstream of each group in each of two regions, and one whose region is not known. */
private val ENTRIES =
    upstreams().map { it.copy(domain = mapOf('0' to NORTH, '1' to SOUTH, '2' to WEST).getValue(it.id.text.last())) }

class AllowedRegionsTest : StringSpec({
    "without lists all upstreams serve, also those whose region is not known" {
        val router = RouterHarness(regions = REGIONS).start(entries = ENTRIES)
        router.domainsOfRequests() shouldBe setOf(NORTH, SOUTH, WEST)
    }

    "requests of a route go to upstreams of its allowed regions only" {
        val router = RouterHarness(regions = REGIONS).start(configuration(route = INLAND), ENTRIES)
        router.domainsOfRequests() shouldBe setOf(SOUTH)
    }

    "requests of an organisation go to upstreams of its allowed regions only" {
        val router = RouterHarness(regions = REGIONS).start(configuration(organisation = COAST), ENTRIES)
        router.domainsOfRequests() shouldBe setOf(NORTH)
    }

    "both lists apply, and a request that they exclude everywhere is refused as not run" {
        // Guards against a list that replaces the other one.
        val router = RouterHarness(regions = REGIONS)
            .start(configuration(route = INLAND, organisation = COAST), ENTRIES)
        val refusal = router.refusalOf(router.sendRequest("/status/1")).shouldNotBeNull()
        refusal.reason shouldBe RefusalReason.REGION_NOT_ALLOWED
        refusal.outcome shouldBe Outcome.NOT_RUN
        router.sentAttempts.shouldBeEmpty()
    }

    "a retry stays in the allowed regions" {
        val router = RouterHarness(regions = REGIONS).start(configuration(route = INLAND), ENTRIES)
        val number = router.sendRequest("/status/1")
        router.endAttempt(number, LOST)
        router.attemptsOf(number).map { it.upstream.domain } shouldBe listOf(SOUTH)
    }

    "an evacuation of the only allowed region refuses the request as evacuated" {
        // Guards against a request that leaves its regions during an evacuation.
        val router = RouterHarness(regions = REGIONS).start(configuration(route = INLAND), ENTRIES)
        val list = EvacuationList(1, listOf(SOUTH))
        router.post(ReportAnswered(ReportAnswer(true, null, emptyList(), evacuations = list), null))
        router.refusalOf(router.sendRequest("/status/1"))?.reason shouldBe RefusalReason.EVACUATED
        router.sentAttempts.shouldBeEmpty()
    }

    "callers are offered routers of an allowed region or of their own" {
        val tables = RouterHarness(regions = REGIONS).start(configuration(route = INLAND), ENTRIES).tables
        fun offered(caller: CallerPlace): List<FailureDomainId> =
            listOf(NORTH, SOUTH, WEST).filter { tables.isOffered(RouterEntry("r", it), caller, SETTINGS) }
        offered(CallerPlace(SOUTH, INLAND, "desk.example")) shouldBe listOf(SOUTH)
        offered(CallerPlace(NORTH, COAST, "desk.example")) shouldBe listOf(NORTH, SOUTH)
        offered(CallerPlace(NORTH, null, "Desk.Example")) shouldBe listOf(NORTH, SOUTH)
        offered(CallerPlace(WEST, null, "desk.example")) shouldBe listOf(SOUTH)
        offered(CallerPlace(WEST, null, "other.example")) shouldBe listOf(NORTH, SOUTH, WEST)
        offered(CallerPlace(NORTH)) shouldBe listOf(NORTH, SOUTH, WEST)
    }
})

private val SETTINGS = ForwardingSettings(
    router = RouterId("r"),
    entry = OWN_ENTRY,
    controlHosts = emptyList(),
    retryRatio = 0.0,
    retrySlack = 0,
    retryWindowMillis = 1_000,
    regions = persistentHashMapOf(NORTH to COAST, SOUTH to INLAND),
)

private fun configuration(route: RegionId? = null, organisation: RegionId? = null): ForwardingConfiguration {
    val base = configurationOf(1, null)
    val allowed = listOfNotNull(route).fold(persistentHashSetOf<RegionId>()) { set, region -> set.add(region) }
    val own = listOfNotNull(organisation).fold(persistentHashSetOf<RegionId>()) { set, region -> set.add(region) }
    return base.copy(
        routes = base.routes.mutate { table ->
            table.keys.toList().forEach { host ->
                table[host] = table.getValue(host).map { it.copy(allowedRegions = allowed) }.toPersistentList()
            }
        },
        organisations = base.organisations.mutate { table ->
            table.keys.toList().forEach { id -> table[id] = table.getValue(id).copy(allowedRegions = own) }
        },
    )
}

private fun RouterHarness.domainsOfRequests(): Set<FailureDomainId> =
    List(40) { sendRequest("/status/$it") }.map { attemptsOf(it).single().upstream.domain }.toSet()
