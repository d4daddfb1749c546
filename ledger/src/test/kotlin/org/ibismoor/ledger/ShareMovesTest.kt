/**
 * Moves tokens between domain ledgers under random demand, delays, message losses and partitions, with fixed seeds.
 * Guards against tokens that are issued twice, remainders that no request can use, and replicas that endlessly take the
 * same tokens from each other.
 */
package org.ibismoor.ledger

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.demandWeightedSizing
import org.ibismoor.ledger.api.pooledSizing

private const val REQUEST_TOKENS = 70L
private const val GRANT_TOKENS = 7_000L

private fun ShareWorld.runRandomly(steps: Int, hasPartitions: Boolean) {
    repeat(steps) { step ->
        if (hasPartitions && random.nextInt(60) == 0) {
            unreachable = ledgers.keys.shuffled(random).take(random.nextInt(2)).toSet()
        }
        if (random.nextInt(3) == 0) request(ledgers.keys.random(random), random.nextLong(1, REQUEST_TOKENS * 2))
        settleSome()
        if (step == steps / 2) grant(GRANT_TOKENS * 2)
        advance(random.nextLong(1, 30))
        checkInvariant()
    }
}

class ShareMovesTest : StringSpec({
    "spend and shares never exceed the grants under message loss, delay and partitions" {
        (1..20).forEach { seed ->
            listOf(demandWeightedSizing(), pooledSizing()).forEach { policy ->
                val world = ShareWorld(seed, policy, GRANT_TOKENS, lossPerMille = 50)
                world.runRandomly(steps = 600, hasPartitions = true)
            }
        }
    }

    "tokens left over in several domains are spent to the last one" {
        (1..20).forEach { seed ->
            val world = ShareWorld(seed, demandWeightedSizing(), GRANT_TOKENS)
            repeat(200) {
                world.request(world.ledgers.keys.random(world.random), REQUEST_TOKENS)
                repeat(4) { world.advance(40) }
                world.settleAll()
                world.checkInvariant()
            }
            world.spent shouldBe GRANT_TOKENS
            world.refusals.toSet() shouldBe setOf(RefusalReason.BUDGET_EXHAUSTED)
        }
    }

    "a remainder that covers no request stops moving, although every domain keeps requesting tokens" {
        val world = ShareWorld(seed = 3, demandWeightedSizing(), granted = REQUEST_TOKENS * 3 - 1)
        repeat(30) { turn ->
            world.request(world.ledgers.keys.elementAt(turn % 3), REQUEST_TOKENS)
            repeat(4) { world.advance(40) }
            world.settleAll()
        }
        val moved = world.issued
        repeat(100) { turn ->
            world.request(world.ledgers.keys.elementAt(turn % 3), REQUEST_TOKENS)
            repeat(4) { world.advance(40) }
        }
        world.issued shouldBe moved
        world.spent shouldBe REQUEST_TOKENS * 2
    }

    "a budget is not reported as exhausted while a domain is unreachable" {
        val world = ShareWorld(seed = 4, demandWeightedSizing(), GRANT_TOKENS)
        world.advance(50)
        world.unreachable = setOf(norte2)
        repeat(200) {
            world.request(norte1, REQUEST_TOKENS)
            repeat(5) { world.advance(40) }
            world.settleAll()
        }
        world.refusals.toSet() shouldBe setOf(RefusalReason.SHARE_EXHAUSTED)
        world.spent shouldBeLessThanOrEqual GRANT_TOKENS
    }
})
