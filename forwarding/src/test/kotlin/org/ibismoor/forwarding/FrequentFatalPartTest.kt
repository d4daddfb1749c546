package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec

private const val SEEDS = 10
private const val ENGINES = 6
private val FATAL_PER_SECOND = listOf(15, 30, 60)

class FrequentFatalPartTest : StringSpec({
    "a frequent prompt part that crashes several engines at almost the same time is kept from the engines" {
        // Guards against crashes on different requests that look like a loss of power and accuse no part.
        for (fatalPerSecond in FATAL_PER_SECOND) {
            repeat(SEEDS) { seed ->
                withClue("$fatalPerSecond a second, seed $seed") {
                    checkAttack(PromptFleet(seed, ENGINES), fatalPerSecond)
                }
            }
        }
    }
})
