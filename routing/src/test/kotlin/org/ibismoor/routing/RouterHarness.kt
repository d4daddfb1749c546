package org.ibismoor.routing

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.configuration.api.ApiKey
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.Priority
import org.ibismoor.configuration.api.Route
import org.ibismoor.configuration.api.ServiceRoute
import org.ibismoor.configuration.api.ServiceRule
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settled
import org.ibismoor.routing.api.AnswerCompleted
import org.ibismoor.routing.api.ConfigurationChanged
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.ModelTarget
import org.ibismoor.routing.api.RequestArrived
import org.ibismoor.routing.api.RequestTarget
import org.ibismoor.routing.api.RoutedRequest
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.ServiceTarget
import org.ibismoor.routing.api.StreamId
import org.ibismoor.routing.api.createRouting
import org.ibismoor.routing.api.initialRoutingTables

internal val norte1 = FailureDomainId("norte-1")
internal val norte2 = FailureDomainId("norte-2")
internal val norte3 = FailureDomainId("norte-3")
internal val chat = ModelTarget("m", 40, 60, listOf(1L, 2L))
internal val booking = ServiceTarget(RouteId("desk"), "POST", "/confirm")
internal val engines = UpstreamGroupId("engines")
internal val desks = UpstreamGroupId("desks")

internal fun upstream(name: String, group: UpstreamGroupId) =
    Upstream(UpstreamId(name), group, norte1, "http://127.0.0.1/$name")

internal fun configuration(number: Long = 1, engineCount: Int = 3): ConfigurationTables {
    val organisations = listOf("solo", "other").map { Organisation(OrganisationId(it)) }
    val keys = organisations.map {
        ApiKey(ApiKeyDigest("key-${it.id}"), it.id, BudgetId("budget-${it.id}"), Priority.LIVE)
    }
    val routes = listOf<Route>(
        ModelRoute(RouteId("m"), engines, 30_000, "m", 100, 1_000),
        ServiceRoute(
            RouteId("desk"),
            desks,
            30_000,
            persistentListOf(ServiceRule("POST", "/confirm", false, 5), ServiceRule("GET", "/", true, 1)),
        ),
    )
    val upstreams = (1..engineCount).map { upstream("e$it", engines) } + upstream("d1", desks) + upstream("d2", desks)
    return ConfigurationTables(
        number = ConfigurationNumber(number),
        organisations = persistentHashMapOf<OrganisationId, Organisation>().putAll(organisations.associateBy { it.id }),
        apiKeys = persistentHashMapOf<ApiKeyDigest, ApiKey>().putAll(keys.associateBy { it.digest }),
        routes = persistentHashMapOf<RouteId, Route>().putAll(routes.associateBy { it.id }),
        upstreams = persistentHashMapOf<UpstreamId, Upstream>().putAll(upstreams.associateBy { it.id }),
    )
}

internal fun request(
    target: RequestTarget = chat,
    key: String? = null,
    organisation: String = "solo",
    priority: Priority? = null,
) = RoutedRequest(
    apiKey = ApiKeyDigest("key-$organisation"),
    target = target,
    body = BodyDigest("b"),
    idempotencyKey = key,
    generatedKey = "norte-1.1.5~minted",
    priority = priority,
    deadlineMillis = null,
)

/** Runs the routing state machine of one router with a clock that the test advances. */
internal class RouterHarness(
    settings: RoutingSettings = RoutingSettings(norte1, listOf(norte1, norte2, norte3)),
    configuration: ConfigurationTables = configuration(),
) {
    private val machine = createRouting(settings)
    var tables: RoutingTables = initialRoutingTables(settings, SessionId("s"), seed = 1, now = Timestamp(0))
    var now = 0L
    val nextDue: Long? get() = machine.nextDue(tables)?.millis

    init {
        send(ConfigurationChanged(configuration))
    }

    fun send(vararg messages: RoutingMessage): List<RoutingEffect> {
        val step = machine.run(tables, Tick(Timestamp(now), WallTime(0), messages.asList()))
        tables = step.tables
        return step.effects
    }

    /** Advances the clock to [time] in steps of at most 50 ms. */
    fun advance(time: Long): List<RoutingEffect> {
        val effects = mutableListOf<RoutingEffect>()
        while (now < time) {
            now = minOf(time, now + 50)
            effects += send()
        }
        return effects
    }

    fun submit(stream: Long, request: RoutedRequest = request()): SendLedgerRequest =
        send(RequestArrived(StreamId(stream), request)).filterIsInstance<SendLedgerRequest>().single()

    fun reserve(ledgerRequest: SendLedgerRequest, amount: Long = 100): Dispatch =
        send(LedgerAnswered(Reserved(ledgerRequest.request.attempt, amount))).filterIsInstance<Dispatch>().single()

    fun dispatch(stream: Long, request: RoutedRequest = request()): Dispatch = reserve(submit(stream, request))

    fun complete(dispatch: Dispatch, cost: Long = 50): SendLedgerRequest =
        send(AnswerCompleted(dispatch.stream, dispatch.upstream.id, cost, 200))
            .filterIsInstance<SendLedgerRequest>().single()

    fun settle(ledgerRequest: SendLedgerRequest): List<RoutingEffect> =
        send(LedgerAnswered(Settled(ledgerRequest.request.attempt, 50)))

    fun isEmpty(): Boolean =
        tables.streams.isEmpty() && tables.streamsByAttempt.isEmpty() && tables.abandonedReservations.isEmpty() &&
            tables.queuedCount == 0 &&
            tables.upstreams.values.all { it.inFlight == 0 } && tables.groups.values.all { it.active == 0 } &&
            tables.authorities.values.all { it.holders.isEmpty() }
}
