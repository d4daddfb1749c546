/**
 * Requests of callers, drawn from the seed.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.PromptPart
import org.ibismoor.forwarding.api.PromptShape
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.api.RequestSent
import org.ibismoor.soak.api.SoakRequestId
import org.ibismoor.soak.internal.routerName

private const val PATIENCE_MILLIS = 4_500L

/** One in this many callers of a stream leaves early. */
private const val IMPATIENT_SHARE = 25L
private const val IMPATIENT_MILLIS = 150L

/** One in this many prompts has the part on which engines may crash. */
private const val CRASHING_SHARE = 12L
private const val SHARED_PARTS = 2
private const val SHARED_TOKENS = 40L
private const val OWN_TOKENS = 20L
private const val OUTPUT_TOKENS = 16L

/** A retry keeps the route and the prompt and gets an identifier of its own. */
internal fun openCall(tables: SoakTables, caller: CallerRow, requests: Int): OpenCall {
    val id = SoakRequestId("c${caller.number}-$requests")
    val failed = caller.open
    if (failed != null) return failed.copy(id = id, tries = failed.tries + 1)
    val routes = SoakRoute.entries
    val route = routes[tables.draw(routes.size.toLong(), "route", id).toInt()]
    return OpenCall(id, route, if (route.kind.isStream) promptOf(tables, caller, id) else null, tries = 1)
}

private fun promptOf(tables: SoakTables, caller: CallerRow, id: SoakRequestId): PromptShape {
    val isCrashing = tables.draw(CRASHING_SHARE, "crashing", id) == 0L
    val first = if (isCrashing) CRASHING_PART else "5c1e07a${caller.number % SHARED_PARTS}"
    val own = "%08x".format(id.text.hashCode())
    val parts = listOf(PromptPart(first, SHARED_TOKENS), PromptPart(own, OWN_TOKENS))
    return PromptShape(SHARED_TOKENS + OWN_TOKENS, OUTPUT_TOKENS, parts)
}

/** Time after which the caller gives up. */
internal fun patienceMillis(tables: SoakTables, call: OpenCall): Long {
    val isImpatient = call.route.kind.isStream && tables.draw(IMPATIENT_SHARE, "impatient", call.id) == 0L
    return if (isImpatient) IMPATIENT_MILLIS else PATIENCE_MILLIS
}

internal fun requestSent(tables: SoakTables, caller: CallerRow, call: OpenCall, now: Timestamp): RequestSent =
    RequestSent(
        at = now,
        request = call.id,
        router = routerAt(tables, caller.address.orEmpty()),
        kind = call.route.kind,
        organisation = caller.organisation,
        route = call.route.pathPrefix,
        isProper = !isKeyRevoked(caller.organisation, tables.operator.publication),
        promptParts = call.prompt?.parts?.map { it.id }.orEmpty(),
        maximumTokens = call.prompt?.maximumCost ?: 0,
        promptTokens = call.prompt?.inputTokens ?: 0,
        services = setOf(groupOf(call.route).text),
    )

private fun routerAt(tables: SoakTables, address: String): ProcessName {
    val vm = tables.layout.vms.first { tables.layout.publicHost(it) == address.substringBeforeLast(':') }
    return ProcessName(routerName(vm))
}
