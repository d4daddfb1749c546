/**
 * Guards against a reader that throws on damaged files, and against a damaged file that is accepted with other rows but
 * the digest of the original.
 */
package org.ibismoor.declarations

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.declarations.api.AcceptedDeclarations
import org.ibismoor.declarations.api.DeclarationSource
import org.ibismoor.declarations.api.RejectedDeclarations
import org.ibismoor.declarations.api.readDeclarations
import kotlin.random.Random

private const val SEED = 20_261_204
private const val MUTATIONS = 4_000
private const val ALPHABET = "abz019 \n\t:-[]{}#&*!|>'\"%@`,.?/\\~\u0000\u0085\uFEFFé"

private val ORIGINAL = """
organisations:
  - {name: hauler, weight: 3, keys: [{sha256: ${"0f".repeat(32)}, budget: mixes}]}
budgets:
  - name: mixes
    organisation: hauler
    grants:
      - {id: first, tokens: 120}
model_routes:
  - {name: review, group: engines, model: mix-2b, deadline_ms: 9000}
upstreams:
  - name: engine-1
    group: engines
    domain: prairie-1
    url: http://127.0.0.1:9001
...
""".trimStart()

private fun mutate(text: String, random: Random): String {
    val at = random.nextInt(text.length)
    val to = minOf(text.length, at + random.nextInt(1, 12))
    return when (random.nextInt(5)) {
        0 -> text.removeRange(at, to)
        1 -> text.replaceRange(at, at + 1, ALPHABET.random(random).toString())
        2 -> text.substring(0, at) + ALPHABET.random(random) + text.substring(at)
        3 -> text.substring(0, to) + text.substring(at, to) + text.substring(to)
        else -> text.lines().shuffled(random).joinToString("\n")
    }
}

class MutationTest : StringSpec({
    "a damaged file is refused, or has another digest than the original if its rows differ" {
        val random = Random(SEED)
        val original = readDeclarations(listOf(DeclarationSource("a.yaml", ORIGINAL)))
            .shouldBeInstanceOf<AcceptedDeclarations>()
        val results = List(MUTATIONS) {
            val damaged = (0..random.nextInt(3)).fold(ORIGINAL) { text, _ -> mutate(text, random) }
            readDeclarations(listOf(DeclarationSource("a.yaml", damaged)))
        }
        val accepted = results.filterIsInstance<AcceptedDeclarations>()
        accepted.forEach { (it.digest == original.digest) shouldBe (it.tables == original.tables) }
        results.filterIsInstance<RejectedDeclarations>().forEach { it.findings.size shouldBeGreaterThan 0 }
        accepted.size shouldBeGreaterThan 0
    }
})
