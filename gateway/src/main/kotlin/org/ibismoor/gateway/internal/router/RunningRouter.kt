/**
 * A router process with two threads: the control thread makes decisions, the traffic thread does all network I/O.
 */
package org.ibismoor.gateway.internal.router

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.Job
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.core.api.SessionId
import org.ibismoor.forwarding.api.AddressAnswer
import org.ibismoor.forwarding.api.AnswerLoan
import org.ibismoor.forwarding.api.ApplyConfiguration
import org.ibismoor.forwarding.api.AskContact
import org.ibismoor.forwarding.api.AskOrigins
import org.ibismoor.forwarding.api.CallerPlace
import org.ibismoor.forwarding.api.CallerPlacement
import org.ibismoor.forwarding.api.ControlHostsChanged
import org.ibismoor.forwarding.api.DrainStarted
import org.ibismoor.forwarding.api.FetchConfiguration
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.MoveCallers
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestLoan
import org.ibismoor.forwarding.api.ResourcesMeasured
import org.ibismoor.forwarding.api.SendLoadNotice
import org.ibismoor.forwarding.api.SendReport
import org.ibismoor.forwarding.api.addressAnswer
import org.ibismoor.forwarding.api.createForwarding
import org.ibismoor.forwarding.api.hasLeaderContact
import org.ibismoor.forwarding.api.initialForwarding
import org.ibismoor.forwarding.api.knownOrigins
import org.ibismoor.gateway.api.PlatformFormats
import org.ibismoor.gateway.api.RouterProcess
import org.ibismoor.gateway.api.RouterSettings
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.StructuredLog
import org.ibismoor.gateway.internal.net.ClientPool
import org.ibismoor.gateway.internal.net.DocumentClient
import org.ibismoor.gateway.internal.net.JsonClient
import org.ibismoor.gateway.internal.net.createProcessMemory
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.net.restartIfHeapIsExhausted
import org.ibismoor.gateway.internal.net.serveSimple
import org.ibismoor.runtime.api.ControlLoop
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.runtime.api.createClock
import org.ibismoor.runtime.api.performEach
import org.ibismoor.runtime.api.startControlThread
import java.security.SecureRandom
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val REPORT_TIMEOUT_MILLIS = 600L
private const val RESOURCE_INTERVAL_MILLIS = 500L
private const val DRAIN_POLL_MILLIS = 50L
private const val CUT_RECORD_MILLIS = 100L
private const val FAILURE_EXIT_CODE = 70
private const val STATUS_NOT_FOUND = 404

@Suppress("TooManyFunctions") // one function for each call of the process
internal class RunningRouter(private val settings: RouterSettings, private val formats: PlatformFormats) :
    RouterProcess {
    private val log = StructuredLog("router")
    private val group: EventLoopGroup = createTrafficThread()
    private val pool = ClientPool(group, settings.clientHost)
    private val client = JsonClient(group, pool)
    private val clock = createClock()
    private val loop: ControlLoop<ForwardingTables, ForwardingMessage, ForwardingEffect> = ControlLoop(
        createForwarding(settings.forwarding),
        initialForwarding(settings.forwarding, newSessionId(), SecureRandom().nextLong(), clock.now()),
        clock,
        ::perform,
    )
    private val memory = createProcessMemory()
    private val meters = RouterMeters({ loop.tables }, { log.droppedLines }).also { it.registerMemory(memory) }
    private val traffic =
        RouterTraffic(group, pool, formats.dialect, meters, ::recordCut, memory, ::reportFailedEffect, loop::post)
    private val resources = ResourceMeter(traffic)
    private val addressAnswers = AtomicLong()
    private val loans = Loans(client, settings.routerPort, loop::post)
    private val notices = LoadNotices(client, settings.routerPort, meters, loop::post)
    private val contacts =
        ContactQueries(client, settings.routerPort, { loop.tables.hasLeaderContact(clock.now()) }, loop::post)
    private val origins =
        OriginQueries(client, settings.routerPort, { loop.tables.knownOrigins(it) }, loop::post)
    private val fetcher =
        ConfigurationFetcher(DocumentClient(group, pool), settings.controlPort, formats.configuration, loop::post)
    private var controlJob: Job? = null

    fun start() {
        traffic.listen(settings.callerAddress)
        serve(ListenAddress(settings.callerAddress.host, settings.routerPort), ::handlePeerRequest)
        controlJob = startControlThread("decisions", loop, ::terminate)
        if (settings.forwarding.policies.callerPlacement != CallerPlacement.DOMAIN) startMeasuring()
        log.write("started", "session" to loop.tables.session, "address" to settings.callerAddress.host)
    }

    private fun startMeasuring() {
        val interval = RESOURCE_INTERVAL_MILLIS
        val measure = Runnable { loop.post(ResourcesMeasured(resources.measure())) }
        traffic.eventLoop.scheduleAtFixedRate(measure, interval, interval, TimeUnit.MILLISECONDS)
    }

    override val isReady: Boolean get() = loop.tables.state == RouterState.READY

    override fun addressesFor(caller: CallerPlace): AddressAnswer {
        val number = addressAnswers.getAndIncrement()
        return loop.tables.addressAnswer(caller, settings.forwarding, clock.now(), number)
    }

    override fun metrics(): String = meters.scrape()

    override fun serve(address: ListenAddress, handler: SimpleHandler) {
        serveSimple(group, address, memory, handler)
    }

    override fun updateControlHosts(hosts: List<String>) {
        log.write("settings_reloaded", "control_hosts" to hosts.size)
        loop.post(ControlHostsChanged(hosts))
    }

    /** Effects on exchanges keep their order, since the single traffic thread performs all of them. */
    private fun perform(@Suppress("UNUSED_PARAMETER") tables: ForwardingTables, effects: List<ForwardingEffect>) {
        if (effects.isEmpty()) return
        performEach(effects, ::reportFailedEffect, ::perform)
        group.execute { traffic.perform(effects) }
    }

    private fun perform(effect: ForwardingEffect) {
        when (effect) {
            is SendReport -> sendReport(effect)
            is FetchConfiguration -> fetcher.fetch(effect)
            is SendLoadNotice -> notices.send(effect)
            is AskContact -> contacts.ask(effect)
            is AskOrigins -> origins.ask(effect)
            is RequestLoan -> loans.requestLoan(effect)
            is AnswerLoan -> loans.answerLoan(effect)
            is MoveCallers -> traffic.movesPerSecond = effect.perSecond
            is ApplyConfiguration -> traffic.limits = effect.configuration.limits
            is LogDecision -> {
                meters.countDecision(effect.decision)
                log.writeDecision(effect.decision)
            }
            else -> Unit
        }
    }

    private fun reportFailedEffect(effect: ForwardingEffect, cause: Throwable) {
        log.write("effect_failed", "effect" to effect.javaClass.simpleName, "problem" to cause.toString())
        restartIfHeapIsExhausted(cause)
    }

    private fun handlePeerRequest(request: SimpleRequest): CompletableFuture<SimpleAnswer> =
        when (request.path) {
            InternalPaths.LOAN -> loans.handle(request)
            InternalPaths.LOAD_NOTICE -> notices.handle(request)
            InternalPaths.CONTACT -> contacts.handle()
            InternalPaths.STREAM_ORIGINS -> origins.handle(request)
            else -> CompletableFuture.completedFuture(SimpleAnswer(STATUS_NOT_FOUND))
        }

    private fun sendReport(effect: SendReport) {
        val body = InternalJson.encodeToString(effect.report)
        val address = "${effect.host}:${settings.controlPort}"
        client.call(address, "POST", InternalPaths.REPORT, body, REPORT_TIMEOUT_MILLIS)
            .thenApply { InternalJson.decodeFromString<ReportAnswer>(it.body) }
            .whenComplete { answer, failure ->
                loop.post(if (failure == null) messageOf(answer) else ReportLost(failureText(failure)))
            }
    }

    private fun messageOf(answer: ReportAnswer): ForwardingMessage = ReportAnswered(answer, readConfiguration(answer))

    private fun readConfiguration(answer: ReportAnswer): ForwardingConfiguration? =
        try {
            answer.configuration?.let { formats.configuration.read(it.document) }
        } catch (e: IllegalArgumentException) {
            val version = answer.configuration?.version
            log.write("configuration_unreadable", "version" to version, "problem" to e.message)
            null
        }

    override fun drain() {
        val times = settings.drain
        val startedAt = clock.now()
        traffic.isDraining = true
        loop.post(DrainStarted)
        waitUntil { clock.now() - startedAt >= times.stopListeningAfterMillis }
        group.execute { traffic.stopListening() }
        waitUntil { clock.now() - startedAt >= times.closeIdleAfterMillis }
        group.execute { traffic.closeIdle() }
        waitUntil {
            val isOver = clock.now() - startedAt >= settings.forwarding.times.maximumDrainMillis
            isOver || loop.tables.requests.isEmpty() && !traffic.hasConnections
        }
        group.submit { traffic.recordOpenExchanges() }.await(CUT_RECORD_MILLIS)
        log.write("stopped", "after_ms" to clock.now() - startedAt, "open_requests" to loop.tables.requests.size)
        log.close()
    }

    private fun recordCut(cut: CutAnswer) {
        meters.countCut(cut.cause)
        log.write(
            "answer_cut",
            "id" to cut.callId,
            "cause" to cut.cause.text,
            "detail" to cut.detail,
            "upstream" to cut.upstream,
            "events" to cut.events,
            "age_ms" to cut.ageMillis,
            "version" to (loop.tables.configuration?.version ?: 0),
        )
    }

    private inline fun waitUntil(condition: () -> Boolean) {
        while (!condition()) TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS)
    }

    private fun terminate(cause: Throwable) {
        log.write("failed", "problem" to cause.stackTraceToString().replace('\n', ' '))
        log.close()
        Runtime.getRuntime().halt(FAILURE_EXIT_CODE)
    }
}

private fun newSessionId(): SessionId = SessionId(java.lang.Long.toHexString(SecureRandom().nextLong()))
