/**
 * Measures heartbeats at a control process and a router when reports change each second. The size is the number of
 * upstreams of the fleet; 47 routers (330 in 7 domains) send one heartbeat a second.
 */
package org.ibismoor.bench.capacity.internal

import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.deltaBetween
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.WallTime
import org.ibismoor.membership.api.AnswerHeartbeat
import org.ibismoor.membership.api.ConfigurationAdvanced
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.HeartbeatAnswer
import org.ibismoor.membership.api.HeartbeatReceived
import org.ibismoor.membership.api.MembershipEffect
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipSettings
import org.ibismoor.membership.api.RouterRow
import org.ibismoor.membership.api.RouterState
import org.ibismoor.membership.api.SendSummary
import org.ibismoor.membership.api.SummaryReceived
import org.ibismoor.membership.api.UpstreamPolled
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.membership.api.createMembership
import org.ibismoor.membership.api.initialMembershipTables
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.encodeJson

private const val ROUTERS = 47
private const val MEASURED_SECONDS = 20
private const val SECOND_MILLIS = 1_000L
private const val LOAD_CYCLE = 32
private const val FEW_UPSTREAMS = 100
private const val SOME_UPSTREAMS = 300
private const val TARGET_UPSTREAMS = 1_000

/** Digits in the last group of a session identifier. */
private const val SESSION_SUFFIX_DIGITS = 12

internal class HeartbeatMeasurement : Measurement {
    override val name = MeasurementName.HEARTBEATS
    override val unit = "upstreams"
    override val sizes = listOf(FEW_UPSTREAMS, SOME_UPSTREAMS, TARGET_UPSTREAMS)

    override fun measure(size: Int): List<Figure> {
        val domain = MeasuredDomain(size)
        val control = microsPerRun(MEASURED_SECONDS) { domain.runSecond(it) }
        val heartbeat = encodeJson(Heartbeat.serializer(), domain.heartbeat(0))
        val answer = domain.lastAnswer
        val router = microsPerRun(MEASURED_SECONDS) { decodeJson(HeartbeatAnswer.serializer(), answer) }
        return listOf(
            Figure("heartbeat", heartbeat.length.toDouble(), "bytes"),
            Figure("answer", answer.length.toDouble(), "bytes"),
            Figure("summary", domain.summaryBytes.toDouble(), "bytes"),
            Figure("control process", control, "us each second"),
            Figure("router reading the answer", router, "us each second"),
        )
    }
}

/** The control process of one domain with its routers; the load of each upstream changes every second. */
private class MeasuredDomain(private val upstreams: Int) {
    private val settings = MembershipSettings()
    private val machine = createMembership(settings)
    private val configuration = configuration(upstreams, upstreams)
    private val versions = MutableList(ROUTERS) { 0L to 0L }
    private var tables = initialMembershipTables(targetReplicas.first(), settings, Timestamp(0))
    var lastAnswer = ""
        private set
    var summaryBytes = 0
        private set

    init {
        runTick(0, listOf(ConfigurationAdvanced(configuration, deltaBetween(ConfigurationTables(), configuration))))
    }

    fun heartbeat(index: Int): Heartbeat {
        val session = SessionId("3d234747-1fae-4d59-800e-${index.toString().padStart(SESSION_SUFFIX_DIGITS, '0')}")
        val row = RouterRow(
            RouterId("router-$index"),
            session,
            targetDomains.first(),
            "http://10.0.0.$index:7000",
            RouterState.SERVING,
            index,
        )
        return Heartbeat(row, ConfigurationNumber(1), versions[index].first, versions[index].second)
    }

    fun runSecond(number: Int) {
        val polls = configuration.upstreams.values.filter { it.domain == targetDomains.first() }
            .map { UpstreamPolled(report(it.id, number)) }
        runTick(number, polls + summaries(number))
        repeat(ROUTERS) { exchangeHeartbeat(it, number) }
    }

    private fun exchangeHeartbeat(index: Int, number: Int) {
        val text = encodeJson(Heartbeat.serializer(), heartbeat(index))
        decodeJson(Heartbeat.serializer(), text)
        val answer = runTick(number, listOf(HeartbeatReceived(index.toLong(), heartbeat(index))))
            .filterIsInstance<AnswerHeartbeat>().single().answer
        versions[index] = answer.routerListVersion to answer.reportVersion
        lastAnswer = encodeJson(HeartbeatAnswer.serializer(), answer)
    }

    private fun summaries(number: Int): List<MembershipMessage> =
        targetReplicas.drop(1).map { replica ->
            val reports = configuration.upstreams.values.filter { it.domain == replica.domain }
            val summary = DomainSummary(
                replica,
                number + 1L,
                emptyList(),
                reports.map { report(it.id, number) },
                ConfigurationNumber(1),
            )
            val text = encodeJson(DomainSummary.serializer(), summary)
            decodeJson(DomainSummary.serializer(), text)
            SummaryReceived(summary)
        }

    private fun report(id: UpstreamId, number: Int) =
        UpstreamReport(id, number % LOAD_CYCLE, 0, false, "286a6e3b-f790-4b3b-845c-988896152c36", 0)

    private fun runTick(number: Int, messages: List<MembershipMessage>): List<MembershipEffect> {
        val millis = SECOND_MILLIS * number
        val step = machine.run(tables, Tick(Timestamp(millis), WallTime(millis), messages))
        tables = step.tables
        step.effects.filterIsInstance<SendSummary>().lastOrNull()?.let {
            summaryBytes = encodeJson(DomainSummary.serializer(), it.summary).length
        }
        return step.effects
    }
}
