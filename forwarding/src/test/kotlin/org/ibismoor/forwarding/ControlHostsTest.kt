package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.forwarding.api.ControlHostsChanged
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.SendReport

private const val MAXIMUM_CONTROL_HOSTS = 16

class ControlHostsTest : StringSpec({
    "a host that has left the settings and the group gets no more reports" {
        // Guards against a router that loses a report timeout at each host that ever served control, and that counts
        // as colocated with a control process that no longer runs on its VM.
        val router = RouterHarness().start()
        router.post(ControlHostsChanged(listOf("10.0.0.5")))
        router.post(leaderAnswer("10.0.0.5", "10.0.0.6"))
        router.tables.fleet.controlHosts shouldContainExactly listOf("10.0.0.5", "10.0.0.6")
    }

    "a host in the settings keeps getting reports although it is not in the group" {
        // Guards against a router that has no host left when all replicas move at once.
        val router = RouterHarness().start()
        router.post(leaderAnswer("10.0.0.1"))
        router.tables.fleet.controlHosts shouldContainAll listOf("10.0.0.1", "10.0.0.9")
    }

    "a process that names an ended leader does not keep the router from the other control processes" {
        // Guards against a router that alternates between the two for good and keeps an old configuration meanwhile.
        val router = RouterHarness().start()
        router.isControlUnreachable = true
        router.post(ControlHostsChanged(listOf("10.0.0.5", "10.0.0.6")))
        val asked = List(12) {
            router.nextReportHost().also { host ->
                val named = ReportAnswer(false, ReplicaId(FailureDomainId("10.0.0.1"), 1), emptyList())
                router.post(if (host == "10.0.0.9") ReportAnswered(named, null) else ReportLost("timeout"))
            }
        }
        asked shouldContainAll listOf("10.0.0.1", "10.0.0.9", "10.0.0.5", "10.0.0.6")
    }

    "a leader that has lost a single report is asked again at once" {
        // Guards against a router that goes round all control processes for each lost report.
        val router = RouterHarness().start()
        router.isControlUnreachable = true
        router.post(ControlHostsChanged(listOf("10.0.0.5", "10.0.0.6")))
        val leader = router.nextReportHost()
        router.post(ReportLost("timeout"))
        router.nextReportHost() shouldNotBe leader
        router.post(ReportAnswered(ReportAnswer(false, ReplicaId(FailureDomainId(leader), 1), emptyList()), null))
        router.nextReportHost() shouldBe leader
    }

    "new hosts in the settings are used, however many were known before" {
        // Guards against a router that ignores all hosts after the first 16.
        val router = RouterHarness().start()
        router.isControlUnreachable = true
        repeat(10) { router.post(ControlHostsChanged(listOf("10.0.$it.20", "10.0.$it.21"))) }
        router.tables.fleet.controlHosts shouldContainAll listOf("10.0.9.20", "10.0.9.21")
        router.tables.fleet.controlHosts.size shouldBeLessThanOrEqual MAXIMUM_CONTROL_HOSTS
    }
})

private fun RouterHarness.nextReportHost(): String {
    effects.clear()
    advance(1_000)
    return effects.filterIsInstance<SendReport>().single().host
}

private fun leaderAnswer(vararg hosts: String): ReportAnswered =
    ReportAnswered(ReportAnswer(true, null, hosts.map { ReplicaId(FailureDomainId(it), 1) }), null)
