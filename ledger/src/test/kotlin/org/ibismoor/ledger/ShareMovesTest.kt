/**
 * Moves of shares between domain ledgers under random demand, delays, losses and cuts, with fixed seeds. The tests
 * guard against tokens that are issued twice, against remainders that no request can use, and against replicas that
 * take the same tokens from each other without end.
 */
package org.ibismoor.ledger

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.demandWeightedSizing
import org.ibismoor.ledger.api.pooledSizing

private const val REQUEST = 70L
private const val GRANT = 7_000L

private fun ShareWorld.runRandomly(steps: Int, cutsOff: Boolean) {
    repeat(steps) { step ->
        if (cutsOff && random.nextInt(60) == 0) cut = ledgers.keys.shuffled(random).take(random.nextInt(2)).toSet()
        if (random.nextInt(3) == 0) request(ledgers.keys.random(random), random.nextLong(1, REQUEST * 2))
        settleSome()
        if (step == steps / 2) grant(GRANT * 2)
        advance(random.nextLong(1, 30))
        checkInvariant()
    }
}

class ShareMovesTest : StringSpec({
    "spend and shares never exceed the grants, whatever is lost, late or cut off" {
        (1..20).forEach { seed ->
            listOf(demandWeightedSizing(), pooledSizing()).forEach { policy ->
                val world = ShareWorld(seed, policy, GRANT, lossPerMille = 50)
                world.runRandomly(steps = 600, cutsOff = true)
            }
        }
    }

    "remainders that are spread over all domains are spent to the last token" {
        (1..20).forEach { seed ->
            val world = ShareWorld(seed, demandWeightedSizing(), GRANT)
            repeat(200) {
                world.request(world.ledgers.keys.random(world.random), REQUEST)
                repeat(4) { world.advance(40) }
                world.settleAll()
                world.checkInvariant()
            }
            world.spent shouldBe GRANT
            world.refusals.toSet() shouldBe setOf(RefusalReason.BUDGET_EXHAUSTED)
        }
    }

    "a remainder that covers no request stops moving, although every domain goes on asking" {
        val world = ShareWorld(seed = 3, demandWeightedSizing(), granted = REQUEST * 3 - 1)
        repeat(30) { turn ->
            world.request(world.ledgers.keys.elementAt(turn % 3), REQUEST)
            repeat(4) { world.advance(40) }
            world.settleAll()
        }
        val moved = world.issued
        repeat(100) { turn ->
            world.request(world.ledgers.keys.elementAt(turn % 3), REQUEST)
            repeat(4) { world.advance(40) }
        }
        world.issued shouldBe moved
        world.spent shouldBe REQUEST * 2
    }

    "a domain that cannot be reached keeps the budget from being called exhausted" {
        val world = ShareWorld(seed = 4, demandWeightedSizing(), GRANT)
        world.advance(50)
        world.cut = setOf(norte2)
        repeat(200) {
            world.request(norte1, REQUEST)
            repeat(5) { world.advance(40) }
            world.settleAll()
        }
        world.refusals.toSet() shouldBe setOf(RefusalReason.SHARE_EXHAUSTED)
        world.spent shouldBeLessThanOrEqual GRANT
    }
})
