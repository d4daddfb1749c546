/**
 * Selects the routers for the address list of a caller.
 */
package org.ibismoor.membership.api

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.SeededRandom

private const val TIME_TO_LIVE_SECONDS = 10
private const val MAXIMUM_ADDRESSES = 8

/**
 * The addresses of some serving routers, those in the domain of the [caller] first. Within and outside that domain the
 * order is drawn from [random], which spreads callers over the routers.
 */
fun addressList(
    routers: Collection<RouterRow>,
    caller: FailureDomainId?,
    keyPrefix: String,
    random: SeededRandom,
): AddressList {
    val serving = routers.filter { it.state == RouterState.SERVING }.sortedBy { it.id.text }
    val localFirst = shuffled(serving, random).sortedBy { it.domain != caller }
    return AddressList(
        addresses = localFirst.take(MAXIMUM_ADDRESSES).map { Address(it.baseUrl, it.domain) },
        timeToLiveSeconds = TIME_TO_LIVE_SECONDS,
        keyPrefix = keyPrefix,
    )
}

private fun <T> shuffled(items: List<T>, random: SeededRandom): List<T> {
    val result = items.toMutableList()
    var draw = random
    for (last in result.indices.reversed()) {
        val other = draw.below(last + 1L).toInt()
        draw = draw.advance()
        result[last] = result[other].also { result[other] = result[last] }
    }
    return result
}
