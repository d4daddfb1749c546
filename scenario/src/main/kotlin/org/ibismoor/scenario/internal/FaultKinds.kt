/**
 * The kinds of faults in the fault model of the design. Their order decides which ones a seed draws.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.scenario.api.NetworkSettings
import org.ibismoor.scenario.api.ProcessAction

internal const val ROUTERS_PER_DOMAIN = 2
private const val MAX_DELAY_MILLIS = 400
private const val MAX_JITTER_MILLIS = 1_500
private const val MAX_LOSS_PER_MILLE = 150
private const val MAX_DUPLICATION_PER_MILLE = 300
private const val MAX_TOP_UP_TOKENS = 5_000
private const val CONFLICT_NUMBER_BASE = 1_000

private fun processFault(action: ProcessAction, undo: ProcessAction?, isRouter: Boolean) =
    FaultKind { builder, random, start, end ->
        val domain = random.oneOf(builder.domains)
        val number = random.below(ROUTERS_PER_DOMAIN) + 1
        listOfNotNull(start to action, undo?.let { end to it }).forEach { (time, what) ->
            builder.at(time) { if (isRouter) applyToRouter(domain, number, what) else applyToControl(domain, what) }
        }
    }

private val isolateDomain = FaultKind { builder, random, start, end ->
    val domain = random.oneOf(builder.domains)
    builder.at(start) { isolate(domain) }
    builder.at(end) { heal() }
}

private val isolateVm = FaultKind { builder, random, start, end ->
    val domain = random.oneOf(builder.domains)
    val process = if (random.below(2) == 0) domain else "$domain-r1"
    builder.at(start) { isolateVm(process) }
    builder.at(end) { heal() }
}

private fun linkCut(isOneWay: Boolean) = FaultKind { builder, random, start, end ->
    val from = random.oneOf(builder.domains)
    val to = random.oneOf(builder.domains - from)
    builder.at(start) { if (isOneWay) cutOneWay(from, to) else cut(from, to) }
    builder.at(end) { heal() }
}

private val slowLinks = FaultKind { builder, random, start, end ->
    val delay = random.below(MAX_DELAY_MILLIS) + 1L
    builder.at(start) { changeNetwork(NetworkSettings(delayMillis = delay)) }
    builder.at(end) { changeNetwork(NetworkSettings()) }
}

/** Reorders, duplicates and drops messages. */
private val unreliableNetwork = FaultKind { builder, random, start, end ->
    val settings = NetworkSettings(
        jitterMillis = random.below(MAX_JITTER_MILLIS).toLong(),
        lostPerMille = random.below(MAX_LOSS_PER_MILLE),
        doubledPerMille = random.below(MAX_DUPLICATION_PER_MILLE),
    )
    builder.at(start) { changeNetwork(settings) }
    builder.at(end) { changeNetwork(NetworkSettings()) }
}

private val conflictingPublications = FaultKind { builder, random, start, _ ->
    val number = CONFLICT_NUMBER_BASE + start.inWholeMilliseconds
    val markers = listOf("from-one", "from-two")
    builder.at(start) { markers.forEach { publish(random.oneOf(builder.domains), number, it) } }
}

private val topUpInPartition = FaultKind { builder, random, start, end ->
    isolateDomain.addFault(builder, random, start, end)
    val domain = random.oneOf(builder.domains)
    val tokens = random.below(MAX_TOP_UP_TOKENS) + 1L
    builder.at((start + end) / 2) { topUp(domain, SMALL_BUDGET, "grant-${start.inWholeMilliseconds}", tokens) }
}

private val leavingUpstream = FaultKind { builder, random, start, _ ->
    val domain = random.oneOf(builder.domains)
    builder.at(start) { markLeaving("$domain-${random.oneOf(listOf("a", "b", "desk"))}") }
}

/** Loses one disk, publishes the new epoch and later kills a second control process. At most once in a schedule. */
internal val lostDisk = FaultKind { builder, random, start, end ->
    val domain = random.oneOf(builder.domains)
    val second = random.oneOf(builder.domains - domain)
    val publishTime = start + (end - start) / 2
    builder.at(start) { applyToControl(domain, ProcessAction.LOSE_DISK) }
    builder.at(publishTime) { publish(second) }
    builder.at(end) { applyToControl(second, ProcessAction.KILL) }
}

internal val faultKinds: List<FaultKind> = listOf(
    processFault(ProcessAction.KILL, ProcessAction.START, isRouter = true),
    processFault(ProcessAction.FREEZE, ProcessAction.THAW, isRouter = true),
    processFault(ProcessAction.DRAIN, null, isRouter = true),
    processFault(ProcessAction.KILL, ProcessAction.START, isRouter = false),
    processFault(ProcessAction.FREEZE, ProcessAction.THAW, isRouter = false),
    processFault(ProcessAction.TEAR_WRITE, ProcessAction.START, isRouter = false),
    processFault(ProcessAction.FILL_DISK, ProcessAction.START, isRouter = false),
    isolateDomain,
    isolateVm,
    linkCut(isOneWay = true),
    linkCut(isOneWay = false),
    slowLinks,
    unreliableNetwork,
    conflictingPublications,
    topUpInPartition,
    leavingUpstream,
)
