/**
 * The faults of random schedules, after the fault model of the design.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.scenario.api.NetworkSettings
import org.ibismoor.scenario.api.ProcessAction

internal const val ROUTERS_PER_DOMAIN = 2
private const val LARGEST_DELAY_MILLIS = 400
private const val LARGEST_JITTER_MILLIS = 1_500
private const val LARGEST_LOSS_PER_MILLE = 150
private const val LARGEST_DOUBLING_PER_MILLE = 300
private const val LARGEST_TOP_UP = 5_000
private const val RACE_NUMBER = 1_000

private fun process(action: ProcessAction, undo: ProcessAction?, isRouter: Boolean) =
    FaultKind { builder, draw, start, end ->
        val domain = draw.oneOf(builder.domains)
        val number = draw.below(ROUTERS_PER_DOMAIN) + 1
        listOfNotNull(start to action, undo?.let { end to it }).forEach { (time, what) ->
            builder.at(time) { if (isRouter) router(domain, number, what) else control(domain, what) }
        }
    }

private val isolateDomain = FaultKind { builder, draw, start, end ->
    val domain = draw.oneOf(builder.domains)
    builder.at(start) { isolate(domain) }
    builder.at(end) { heal() }
}

private val isolateVm = FaultKind { builder, draw, start, end ->
    val domain = draw.oneOf(builder.domains)
    val process = if (draw.below(2) == 0) domain else "$domain-r1"
    builder.at(start) { isolateVm(process) }
    builder.at(end) { heal() }
}

private fun cut(isOneWay: Boolean) = FaultKind { builder, draw, start, end ->
    val from = draw.oneOf(builder.domains)
    val to = draw.oneOf(builder.domains - from)
    builder.at(start) { if (isOneWay) cutOneWay(from, to) else cut(from, to) }
    builder.at(end) { heal() }
}

private val slowLinks = FaultKind { builder, draw, start, end ->
    val delay = draw.below(LARGEST_DELAY_MILLIS) + 1L
    builder.at(start) { network(NetworkSettings(delayMillis = delay)) }
    builder.at(end) { network(NetworkSettings()) }
}

/** Late messages overtake each other, some arrive twice and some not at all. */
private val messyNetwork = FaultKind { builder, draw, start, end ->
    val settings = NetworkSettings(
        jitterMillis = draw.below(LARGEST_JITTER_MILLIS).toLong(),
        lostPerMille = draw.below(LARGEST_LOSS_PER_MILLE),
        doubledPerMille = draw.below(LARGEST_DOUBLING_PER_MILLE),
    )
    builder.at(start) { network(settings) }
    builder.at(end) { network(NetworkSettings()) }
}

private val racingOperators = FaultKind { builder, draw, start, _ ->
    val number = RACE_NUMBER + start.inWholeMilliseconds
    val markers = listOf("from-one", "from-two")
    builder.at(start) { markers.forEach { publish(draw.oneOf(builder.domains), number, it) } }
}

private val topUpInPartition = FaultKind { builder, draw, start, end ->
    isolateDomain.add(builder, draw, start, end)
    val domain = draw.oneOf(builder.domains)
    val tokens = draw.below(LARGEST_TOP_UP) + 1L
    builder.at((start + end) / 2) { topUp(domain, SMALL_BUDGET, "grant-${start.inWholeMilliseconds}", tokens) }
}

private val leavingUpstream = FaultKind { builder, draw, start, _ ->
    val domain = draw.oneOf(builder.domains)
    builder.at(start) { leave("$domain-${draw.oneOf(listOf("a", "b", "desk"))}") }
}

/** Loses one disk, declares the new epoch and kills a second control process soon after. At most once in a schedule. */
internal val lostDisk = FaultKind { builder, draw, start, end ->
    val domain = draw.oneOf(builder.domains)
    val second = draw.oneOf(builder.domains - domain)
    val declared = start + (end - start) / 2
    builder.at(start) { control(domain, ProcessAction.LOSE_DISK) }
    builder.at(declared) { publish(second) }
    builder.at(end) { control(second, ProcessAction.KILL) }
}

internal val faultKinds: List<FaultKind> = listOf(
    process(ProcessAction.KILL, ProcessAction.START, isRouter = true),
    process(ProcessAction.FREEZE, ProcessAction.THAW, isRouter = true),
    process(ProcessAction.DRAIN, null, isRouter = true),
    process(ProcessAction.KILL, ProcessAction.START, isRouter = false),
    process(ProcessAction.FREEZE, ProcessAction.THAW, isRouter = false),
    process(ProcessAction.TEAR_WRITE, ProcessAction.START, isRouter = false),
    process(ProcessAction.FILL_DISK, ProcessAction.START, isRouter = false),
    isolateDomain,
    isolateVm,
    cut(isOneWay = true),
    cut(isOneWay = false),
    slowLinks,
    messyNetwork,
    racingOperators,
    topUpInPartition,
    leavingUpstream,
)
