package org.ibismoor.router

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.serialization.builtins.ListSerializer
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.configuration.api.ApiKey
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ControlMember
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.Route
import org.ibismoor.configuration.api.ServiceRoute
import org.ibismoor.configuration.api.ServiceRule
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.configuration.api.deltaBetween
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.Cancelled
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settle
import org.ibismoor.ledger.api.Settled
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.HeartbeatAnswer
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.LedgerBatch
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createServer
import org.ibismoor.transport.api.jsonResponse
import org.ibismoor.transport.api.withJsonBody
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

const val API_KEY = "test-key"
const val POOR_KEY = "poor-key"
val UNLISTED_REPLICA = ReplicaId(FailureDomainId("sur"), 1)
private const val SILENCE_CHECK_MILLIS = 10L
private val domain = FailureDomainId("norte")
private val organisation = OrganisationId("desk")

/** A control process with one configuration and a ledger that refuses the requests of [POOR_KEY]. */
class FakeControl(engines: List<Int>, services: List<Int>) : AutoCloseable {
    val requests = ConcurrentLinkedQueue<LedgerRequest>()

    @Volatile
    var refusesSettlement = false

    /** The first body digest used with each request key. */
    private val bodies = ConcurrentHashMap<RequestKey, BodyDigest>()

    /** While true, requests get no answer. */
    @Volatile
    var isSilent = false

    private val server = createServer(ServerSettings("127.0.0.1", 0)) { request, _ ->
        while (isSilent) Thread.sleep(SILENCE_CHECK_MILLIS)
        when (request.uri.path) {
            InternalPaths.HEARTBEAT -> request.withJsonBody(Heartbeat.serializer(), ::heartbeat)
            InternalPaths.LEDGER -> request.withJsonBody(LedgerBatch.serializer(), ::ledger)
            else -> Response(Status.NOT_FOUND)
        }
    }.start()

    val url = "http://127.0.0.1:${server.port()}"

    /** Names a second control process at the address of this one, which the settings of the router do not have. */
    private val configuration = configurationOf(engines, services).copy(
        controlMembers = persistentHashMapOf(UNLISTED_REPLICA to ControlMember(UNLISTED_REPLICA, url)),
    )

    override fun close() {
        server.stop()
    }

    private fun heartbeat(heartbeat: Heartbeat): Response {
        val isNew = heartbeat.configuration != configuration.number
        val answer = HeartbeatAnswer(
            keyPrefix = "norte.1.5~",
            configuration = deltaBetween(ConfigurationTables(), configuration).takeIf { isNew },
            routerListVersion = 1,
            routers = listOf(heartbeat.router),
            reportVersion = 1,
            reports = configuration.upstreams.keys.map { UpstreamReport(it, 0, 0, false, "start", 0) },
        )
        return jsonResponse(Status.OK, HeartbeatAnswer.serializer(), answer)
    }

    private fun ledger(batch: LedgerBatch): Response {
        requests += batch.requests
        return jsonResponse(Status.OK, ListSerializer(LedgerAnswer.serializer()), batch.requests.map(::answer))
    }

    private fun answer(request: LedgerRequest): LedgerAnswer =
        when (request) {
            is Reserve ->
                when {
                    request.budget == BudgetId("poor") ->
                        Refused(request.attempt, RefusalReason.BUDGET_EXHAUSTED, Outcome.NOT_RUN)
                    bodies.putIfAbsent(request.key, request.body).let { it != null && it != request.body } ->
                        Refused(request.attempt, RefusalReason.KEY_REUSED, Outcome.NOT_RUN)
                    else -> Reserved(request.attempt, request.amount)
                }
            is Extend -> Reserved(request.attempt, request.amount)
            is Cancel -> Cancelled(request.attempt)
            is Settle ->
                if (refusesSettlement) {
                    Refused(request.attempt, RefusalReason.SESSION_EXPIRED, Outcome.MAY_HAVE_RUN)
                } else {
                    Settled(request.attempt, request.amount)
                }
        }
}

private fun configurationOf(engines: List<Int>, services: List<Int>): ConfigurationTables {
    val keys = listOf(apiKey(API_KEY, "rich"), apiKey(POOR_KEY, "poor"))
    val routes = listOf<Route>(
        ModelRoute(RouteId("chat"), UpstreamGroupId("engines"), 60_000, "small", 50, 100_000),
        ServiceRoute(RouteId("desk"), UpstreamGroupId("services"), 60_000, persistentListOf(bookingRule, listRule)),
    )
    val upstreams = engines.map { upstream("engines", it) } + services.map { upstream("services", it) }
    return ConfigurationTables(
        number = ConfigurationNumber(7),
        organisations = persistentHashMapOf(organisation to Organisation(organisation)),
        apiKeys = keys.associateBy { it.digest }.toPersistentHashMap(),
        routes = routes.associateBy { it.id }.toPersistentHashMap(),
        upstreams = upstreams.associateBy { it.id }.toPersistentHashMap(),
    )
}

private val bookingRule = ServiceRule("POST", "/bookings", isIdempotent = false, price = 3)
private val listRule = ServiceRule("GET", "/bookings", isIdempotent = true, price = 1)

private fun upstream(group: String, port: Int) =
    Upstream(UpstreamId("$group-$port"), UpstreamGroupId(group), domain, "http://127.0.0.1:$port")

private fun apiKey(key: String, budget: String): ApiKey {
    val digest = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))
    return ApiKey(ApiKeyDigest(digest), organisation, BudgetId(budget))
}
