/**
 * Runs a router's decisions in virtual time: posts messages, records the effects and answers reports like a leader.
 */
package org.ibismoor.forwarding

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.AllowanceUpdate
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RegionId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.WallTime
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.CallerLimits
import org.ibismoor.forwarding.api.EngineSettings
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTimes
import org.ibismoor.forwarding.api.GroupSettings
import org.ibismoor.forwarding.api.LoadPolicies
import org.ibismoor.forwarding.api.OrganisationRow
import org.ibismoor.forwarding.api.PromptPart
import org.ibismoor.forwarding.api.PromptShape
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.RouteRow
import org.ibismoor.forwarding.api.RouteTarget
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.forwarding.api.SendReport
import org.ibismoor.forwarding.api.WorkKind
import org.ibismoor.forwarding.api.createForwarding
import org.ibismoor.forwarding.api.initialForwarding
import org.ibismoor.pacing.api.PaceSettings

internal val COUNCIL = OrganisationId("council")
internal val OWN_ENTRY = RouterEntry("10.0.0.9:80", FailureDomainId("north"))
internal val KEY = ApiKeyDigest("key")
internal val FIRST_VERSION = SoftwareVersion("v1")
internal val SECOND_VERSION = SoftwareVersion("v1.1")
private val ENGINES = UpstreamGroupId("engines")
private val DESK = UpstreamGroupId("desk")

@Suppress("LongParameterList") // optional settings of a router, each of which few tests change
internal class RouterHarness(
    private val budget: Long? = null,
    session: SessionId = SessionId("a"),
    times: ForwardingTimes = ForwardingTimes(),
    seed: Long = 1,
    regions: Map<FailureDomainId, RegionId> = emptyMap(),
    policies: LoadPolicies = LoadPolicies(),
    pacing: PaceSettings = PaceSettings(),
) {
    private val settings = ForwardingSettings(
        router = RouterId("router-1"),
        entry = OWN_ENTRY,
        controlHosts = listOf("10.0.0.1", "10.0.0.9"),
        retryRatio = 0.2,
        retrySlack = 600,
        retryWindowMillis = 10_000,
        times = times,
        regions = regions.toPersistentHashMap(),
        policies = policies,
        pacing = pacing,
    )
    private val machine = createForwarding(settings)
    var now = Timestamp(0)
        private set
    private var nextNumber = 1L
    private var issued = 0L
    private var unspent = budget ?: 0

    /** Limit of the tokens that the leader issues with each answer. */
    var issueLimit = Long.MAX_VALUE

    /** Control processes answer no report. */
    var isControlUnreachable = false

    var tables = initialForwarding(settings, session, seed, now)
        private set
    val effects = mutableListOf<ForwardingEffect>()

    val sentAttempts: List<SendAttempt> get() = effects.filterIsInstance<SendAttempt>()
    val refusals: List<RefuseRequest> get() = effects.filterIsInstance<RefuseRequest>()

    fun start(
        configuration: ForwardingConfiguration = configurationOf(1, budget),
        entries: List<UpstreamEntry> = upstreams(),
    ): RouterHarness = apply {
        val list = UpstreamList(1, entries)
        val answer = ReportAnswer(true, null, emptyList(), upstreams = list, routers = routers(count = 3))
        post(ReportAnswered(answer, configuration))
        advance(1_500)
    }

    /** The leader lists [entries] from now on. */
    fun listUpstreams(entries: List<UpstreamEntry>) {
        val list = UpstreamList(tables.fleet.upstreamRevision + 1, entries)
        post(ReportAnswered(ReportAnswer(true, null, emptyList(), upstreams = list), null))
    }

    /** The leader lists [count] other routers beside this one. */
    fun listRouters(count: Int) {
        post(ReportAnswered(ReportAnswer(true, null, emptyList(), routers = routers(count)), null))
    }

    private fun routers(count: Int): List<RouterEntry> =
        List(count) { RouterEntry("10.0.1.$it:80", FailureDomainId("north")) } + settings.entry

    fun post(message: ForwardingMessage) = postTogether(message)

    /** Posts [messages] within one tick. */
    fun postTogether(vararg messages: ForwardingMessage) {
        val step = machine.run(tables, Tick(now, WallTime(now.millis), messages.toList()))
        tables = step.tables
        collectEffects(step.effects)
    }

    private fun collectEffects(newEffects: List<ForwardingEffect>) {
        effects += newEffects
        newEffects.filterIsInstance<SendReport>().forEach { if (!isControlUnreachable) answerReport(it) }
    }

    private fun answerReport(report: SendReport) {
        val updates = report.report.usage.map { usage ->
            val issuedTokens = minOf(usage.wanted, issueLimit, unspent - issued + usage.returned).coerceAtLeast(0)
            issued += issuedTokens
            val unissued = minOf(issueLimit, unspent - issued + usage.returned).coerceAtLeast(0)
            AllowanceUpdate(usage.organisation, issued, unissued, unspent - usage.settled, 0.0, horizonMillis = 10_000)
        }
        post(ReportAnswered(ReportAnswer(true, null, emptyList(), allowances = updates), null))
    }

    fun advance(millis: Long) {
        val end = now + millis
        while (now < end) {
            now += 10
            val due = machine.nextDue(tables)
            if (due != null && due <= now) {
                val step = machine.run(tables, Tick(now, WallTime(now.millis), emptyList()))
                tables = step.tables
                collectEffects(step.effects)
            }
        }
    }

    fun sendRequest(
        path: String,
        deadlineMillis: Long = 4_000,
        prompt: PromptShape? = null,
        key: ApiKeyDigest? = KEY,
        digest: RequestDigest? = null,
    ): RequestNumber {
        val number = RequestNumber(nextNumber++)
        val ownDigest = digest ?: RequestDigest("digest-${number.value}")
        val head = RequestHead("call-${number.value}", "desk.example", path, key, deadlineMillis, prompt, ownDigest)
        post(RequestArrived(number, head))
        return number
    }

    /** Sends a request with a body of [bytes] bytes. */
    fun sendBody(path: String, bytes: Long): RequestNumber {
        val number = RequestNumber(nextNumber++)
        val digest = RequestDigest("digest-${number.value}")
        val callId = "call-${number.value}"
        val head = RequestHead(callId, "desk.example", path, KEY, 4_000, null, digest, bodyBytes = bytes)
        post(RequestArrived(number, head))
        return number
    }

    fun endAttempt(number: RequestNumber, result: AttemptResult) {
        val attempt = sentAttempts.last { it.number == number }.attempt
        post(AttemptEnded(number, attempt, result))
    }

    fun attemptsOf(number: RequestNumber): List<SendAttempt> = sentAttempts.filter { it.number == number }

    fun refusalOf(number: RequestNumber): RefuseRequest? = refusals.singleOrNull { it.number == number }
}

internal fun upstreams(): List<UpstreamEntry> =
    List(3) { upstream("engine-$it", ENGINES) } + List(3) { upstream("desk-$it", DESK) }

internal fun upstream(
    name: String,
    group: UpstreamGroupId = ENGINES,
    version: SoftwareVersion = SoftwareVersion.UNKNOWN,
): UpstreamEntry =
    UpstreamEntry(
        id = UpstreamId(name),
        group = group,
        address = "$name.example:80",
        domain = FailureDomainId("north"),
        slots = 4,
        isLeaving = false,
        coldMillis = 0,
        version = version,
    )

internal fun promptOf(input: Long, output: Long): PromptShape =
    PromptShape(input, output, listOf(PromptPart("shared", input / 2), PromptPart("own", input - input / 2)))

/** The key of all callers of [organisation]. */
internal fun keyOf(organisation: OrganisationId): ApiKeyDigest =
    if (organisation == COUNCIL) KEY else ApiKeyDigest("key-$organisation")

internal fun configurationOf(version: Long, budget: Long?): ForwardingConfiguration =
    configurationOf(version, mapOf(COUNCIL to budget))

internal fun configurationOf(version: Long, budgets: Map<OrganisationId, Long?>): ForwardingConfiguration {
    val routes = persistentListOf(
        route("/booking/", WorkKind.NON_IDEMPOTENT, DESK, attempts = 2),
        route("/status/", WorkKind.IDEMPOTENT, DESK, attempts = 2),
        route("/review/", WorkKind.STREAM, ENGINES, attempts = 2),
        route("/chat/", WorkKind.RESUMABLE_STREAM, ENGINES, attempts = 2),
    )
    return ForwardingConfiguration(
        version = version,
        routes = persistentHashMapOf("desk.example" to routes),
        groups = persistentHashMapOf(
            ENGINES to GroupSettings(ENGINES, 100, EngineSettings(8, 100_000, tokensPerEvent = 3)),
            DESK to GroupSettings(DESK, 100, null),
        ),
        organisations = budgets.mapValues { (id, budget) -> OrganisationRow(id, null, budget) }.toPersistentHashMap(),
        keys = budgets.keys.associateBy(::keyOf).toPersistentHashMap(),
        limits = CallerLimits(),
    )
}

private fun route(prefix: String, kind: WorkKind, group: UpstreamGroupId, attempts: Int): RouteRow =
    RouteRow(
        id = RouteId(prefix.trim('/')),
        host = "desk.example",
        pathPrefix = prefix,
        kind = kind,
        timeoutMillis = 5_000,
        objectiveMillis = 400,
        priority = 0,
        targets = persistentListOf(RouteTarget(group, 1)),
        maximumAttempts = attempts,
        isPublic = false,
    )
