package org.ibismoor.membership

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ControlMember
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.configuration.api.deltaBetween
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.WallTime
import org.ibismoor.membership.api.AnswerHeartbeat
import org.ibismoor.membership.api.ConfigurationAdvanced
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.HeartbeatAnswer
import org.ibismoor.membership.api.HeartbeatReceived
import org.ibismoor.membership.api.InForce
import org.ibismoor.membership.api.MembershipEffect
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipSettings
import org.ibismoor.membership.api.PlatformListReceived
import org.ibismoor.membership.api.ReportConfigurationInForce
import org.ibismoor.membership.api.RouterRow
import org.ibismoor.membership.api.RouterState
import org.ibismoor.membership.api.RouterView
import org.ibismoor.membership.api.SendSummary
import org.ibismoor.membership.api.SummaryReceived
import org.ibismoor.membership.api.UpstreamPolled
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.membership.api.addressList
import org.ibismoor.membership.api.createMembership
import org.ibismoor.membership.api.initialMembershipTables
import org.ibismoor.membership.api.withAnswer

private val norte1 = FailureDomainId("norte-1")
private val norte2 = FailureDomainId("norte-2")
private val engine = UpstreamId("engine-1")

private fun router(name: String, domain: FailureDomainId = norte1, state: RouterState = RouterState.SERVING) =
    RouterRow(RouterId(name), SessionId("s-$name"), domain, "http://127.0.0.1/$name", state, 0)

private fun report(startId: String, isLeaving: Boolean = false) = UpstreamReport(engine, 1, 0, isLeaving, startId, 100)

/** The membership machine of a control process on a clock that the test sets. */
private class Control(domain: FailureDomainId = norte1) {
    private val settings = MembershipSettings()
    private val machine = createMembership(settings)
    var tables = initialMembershipTables(ReplicaId(domain, 1), settings, Timestamp(0))
        private set
    var now = 0L
    var configuration = ConfigurationTables()

    fun process(vararg messages: MembershipMessage): List<MembershipEffect> {
        val step = machine.run(tables, Tick(Timestamp(now), WallTime(120_000), messages.asList()))
        tables = step.tables
        return step.effects
    }

    fun publish(number: Long, change: (ConfigurationTables) -> ConfigurationTables): List<MembershipEffect> {
        val next = change(configuration).copy(number = ConfigurationNumber(number))
        val delta = deltaBetween(configuration, next)
        configuration = next
        return process(ConfigurationAdvanced(next, delta))
    }

    fun heartbeat(row: RouterRow, view: RouterView = RouterView(), number: Long = view.configuration.number.value) =
        process(
            HeartbeatReceived(
                7,
                Heartbeat(row, ConfigurationNumber(number), view.routerListVersion, view.reportVersion),
            ),
        )

    fun answer(row: RouterRow, view: RouterView = RouterView()): HeartbeatAnswer =
        heartbeat(row, view).filterIsInstance<AnswerHeartbeat>().single().answer
}

private fun withOrganisation(name: String): (ConfigurationTables) -> ConfigurationTables = { tables ->
    val id = OrganisationId(name)
    tables.copy(organisations = tables.organisations.put(id, Organisation(id)))
}

private fun withoutOrganisation(name: String): (ConfigurationTables) -> ConfigurationTables = { tables ->
    tables.copy(organisations = tables.organisations.remove(OrganisationId(name)))
}

private fun declared(domains: List<FailureDomainId>): (ConfigurationTables) -> ConfigurationTables = { tables ->
    val members = domains.map { ReplicaId(it, 1) }.associateWith { ControlMember(it, "http://127.0.0.1") }
    val upstream = Upstream(engine, UpstreamGroupId("g"), norte1, "http://127.0.0.1:9")
    tables.copy(
        controlMembers = persistentHashMapOf<ReplicaId, ControlMember>().putAll(members),
        upstreams = persistentHashMapOf(engine to upstream),
    )
}

class MembershipTest : StringSpec({
    "a router that is several changes behind receives one composed delta, so that removed rows do not return" {
        val control = Control()
        control.publish(1, withOrganisation("a"))
        val view = RouterView().withAnswer(control.answer(router("r")))
        control.publish(2, withOrganisation("b"))
        control.publish(3, withoutOrganisation("a"))
        control.publish(5, withOrganisation("c"))
        val answer = control.answer(router("r"), view)
        answer.configuration?.base shouldBe ConfigurationNumber(1)
        val next = view.withAnswer(answer)
        next.configuration shouldBe control.configuration
        control.answer(router("r"), next).configuration shouldBe null
    }

    "a router that is behind all retained deltas receives the whole configuration and drops removed rows" {
        val control = Control()
        control.publish(1, withOrganisation("old"))
        val view = RouterView().withAnswer(control.answer(router("r")))
        control.publish(2, withoutOrganisation("old"))
        for (number in 3L..300L) control.publish(number, withOrganisation("o$number"))
        val answer = control.answer(router("r"), view)
        answer.configuration?.base shouldBe ConfigurationNumber.NONE
        view.withAnswer(answer).configuration shouldBe control.configuration
    }

    "a control process that is behind its routers serves no configuration, so that no router regresses" {
        val control = Control()
        control.publish(1, withOrganisation("a"))
        control.heartbeat(router("ahead"), number = 2)
        control.answer(router("new")).configuration shouldBe null
        control.publish(2, withOrganisation("b"))
        control.answer(router("new")).configuration?.number shouldBe ConfigurationNumber(2)
    }

    "a late delta with a lower number does not revert the configuration of a router" {
        val control = Control()
        control.publish(1, withOrganisation("a"))
        val late = control.answer(router("r"))
        control.publish(2, withOrganisation("b"))
        val view = RouterView().withAnswer(control.answer(router("r")))
        view.withAnswer(late).configuration shouldBe control.configuration
    }

    "a configuration is in force only when each live router of every domain has reported it" {
        val control = Control()
        control.publish(4, declared(listOf(norte1, norte2)))
        control.heartbeat(router("r1"), number = 4).filterIsInstance<ReportConfigurationInForce>().shouldBeEmpty()
        val lagging = DomainSummary(ReplicaId(norte2, 1), 1, emptyList(), emptyList(), ConfigurationNumber(3))
        control.process(SummaryReceived(lagging)).filterIsInstance<ReportConfigurationInForce>()
            .map { it.number.value } shouldBe listOf(3L)
        val current = lagging.copy(sequence = 2, lowestConfiguration = ConfigurationNumber(4))
        control.process(SummaryReceived(current)) shouldContain
            ReportConfigurationInForce(ConfigurationNumber(4), WallTime(120_000))
        // the status is read from the tables; without it the steps of a publication would wait forever
        control.tables.inForce shouldBe InForce(ConfigurationNumber(4), WallTime(120_000))
    }

    "an upstream is leaving from its own signal or the platform's list until it has a new start identifier" {
        val control = Control()
        control.publish(1, declared(listOf(norte1)))
        control.process(UpstreamPolled(report("one")), PlatformListReceived(setOf("http://127.0.0.1:9")))
        control.answer(router("r")).reports?.single()?.isLeaving shouldBe true
        control.process(UpstreamPolled(report("one")), PlatformListReceived(emptySet()))
        control.answer(router("r")).reports?.single()?.isLeaving shouldBe true
        control.process(UpstreamPolled(report("two")))
        control.answer(router("r")).reports?.single()?.isLeaving shouldBe false
    }

    "a platform list that still names a restarted upstream does not mark it as leaving again" {
        val control = Control()
        control.publish(1, declared(listOf(norte1)))
        control.process(UpstreamPolled(report("one", isLeaving = true)), PlatformListReceived(setOf(engine.text)))
        control.process(UpstreamPolled(report("two")))
        control.process(PlatformListReceived(setOf(engine.text)))
        control.answer(router("r")).reports?.single()?.isLeaving shouldBe false
    }

    "a summary that arrives after a later one does not restore the report of an earlier run of an upstream" {
        val control = Control()
        val first = DomainSummary(ReplicaId(norte2, 1), 1, emptyList(), listOf(report("one", isLeaving = true)))
        control.process(SummaryReceived(first.copy(sequence = 2, reports = listOf(report("two")))))
        control.process(SummaryReceived(first))
        control.answer(router("r")).reports?.single()?.startId shouldBe "two"
    }

    "the age of a forwarded report includes the time since its receipt, so that it does not look fresh to routers" {
        val control = Control()
        control.process(UpstreamPolled(report("one")))
        control.now = 400
        control.answer(router("r")).reports?.single()?.ageMillis shouldBe 500
    }

    "a router without contact for 3 s is no longer listed, and the list is sent only when it changed" {
        val control = Control()
        control.answer(router("dead"))
        val view = RouterView().withAnswer(control.answer(router("r")))
        view.routers.map { it.id.text } shouldBe listOf("dead", "r")
        control.now = 1_500
        control.answer(router("r").copy(inFlight = 3), view).routers shouldBe null
        control.now = 3_000
        control.answer(router("r"), view).routers?.map { it.id.text } shouldBe listOf("r")
    }

    "the summary of each second contains only routers with heartbeats here" {
        val control = Control()
        control.heartbeat(router("r1"))
        val other = DomainSummary(ReplicaId(norte2, 1), 1, listOf(router("r2", norte2)), emptyList())
        control.process(SummaryReceived(other))
        control.now = 1_000
        val summary = control.process().filterIsInstance<SendSummary>().single().summary
        summary.routers.map { it.id.text } shouldBe listOf("r1")
        control.answer(router("r1")).routers?.map { it.id.text } shouldBe listOf("r1", "r2")
    }

    "the address list contains no draining router and starts with the caller's domain" {
        val routers = listOf(
            router("a", norte2),
            router("b"),
            router("c", norte2),
            router("d", state = RouterState.DRAINING),
        )
        for (seed in 1L..20L) {
            val list = addressList(routers, norte1, "norte-1.1.2~", SeededRandom(seed))
            list.addresses.map { it.domain } shouldBe listOf(norte1, norte2, norte2)
            list.addresses.size shouldBe 3
        }
        val first = (1L..20L).map { addressList(routers, norte2, "p", SeededRandom(it)).addresses.first() }
        first.distinct().size shouldBe 2
    }
})
