/**
 * Guards against invalid declarations that are accepted, against findings without a usable place, and against faults
 * that hide each other.
 */
package org.ibismoor.declarations

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.configuration.api.ReservationMode
import org.ibismoor.core.api.BudgetId
import org.ibismoor.declarations.api.AcceptedDeclarations
import org.ibismoor.declarations.api.DeclarationLimits
import org.ibismoor.declarations.api.DeclarationSource
import org.ibismoor.declarations.api.RejectedDeclarations
import org.ibismoor.declarations.api.readDeclarations

private val KEY = "a".repeat(64)

private val FLEET = """
organisations:
  - name: norte-travel
    weight: 2
    requests_per_second: 40
    keys:
      - sha256: $KEY
        budget: travel
        priority: live
budgets:
  - name: travel
    organisation: norte-travel
    grants:
      - id: january
        tokens: 5000
      - id: february
        tokens: 700
model_routes:
  - name: assistant
    group: engines
    model: desk-7b
service_routes:
  - name: desk
    group: desks
    rules:
      - method: POST
        path: /bookings
        idempotent: false
        price: 5
upstreams:
  - name: engine-1
    group: engines
    domain: norte-1
    url: http://127.0.0.1:9001
    supports_resume: true
  - name: desk-1
    group: desks
    domain: norte-2
    url: http://127.0.0.1:9002
control:
  - replica: norte-1.1
    url: http://127.0.0.1:7001
settings:
  held_back: 0.05
  reservation: expected
...
""".trimStart()

private fun read(text: String) = readDeclarations(listOf(DeclarationSource("fleet.yaml", text)))

private fun accepted(vararg sources: DeclarationSource) =
    readDeclarations(sources.toList()).shouldBeInstanceOf<AcceptedDeclarations>()

private fun findings(text: String) =
    read(text).shouldBeInstanceOf<RejectedDeclarations>().findings.map { "${it.place} ${it.problem}" }

class ReadDeclarationsTest : StringSpec({
    "a valid set is read into its rows" {
        val tables = accepted(DeclarationSource("fleet.yaml", FLEET)).tables
        tables.budgets.getValue(BudgetId("travel")).granted shouldBe 5700
        tables.settings.heldBackPerMille shouldBe 50
        tables.settings.reservation shouldBe ReservationMode.EXPECTED
        listOf(tables.organisations, tables.apiKeys, tables.routes, tables.upstreams, tables.controlMembers)
            .map { it.size } shouldBe listOf(1, 1, 2, 2, 1)
    }

    "the same content in other files and in another order has the same digest" {
        val parts = FLEET.removeSuffix("...\n").split(Regex("(?m)^(?=[a-z])")).filter { it.isNotBlank() }
        val split = parts.reversed().mapIndexed { i, part -> DeclarationSource("part-$i.yaml", "$part...\n") }
        accepted(*split.toTypedArray()).digest shouldBe accepted(DeclarationSource("a.yaml", FLEET)).digest
    }

    "faults in several files are reported together, each at its place" {
        val budgets = "budgets:\n  - name: travel\n    organisation: nobody\n    grants: 7\n...\n"
        val result = readDeclarations(
            listOf(
                DeclarationSource("a.yaml", FLEET.replace("weight: 2", "wait: 2")),
                DeclarationSource("b.yaml", budgets),
            ),
        )
        val found = result.shouldBeInstanceOf<RejectedDeclarations>().findings.map { "${it.place} ${it.problem}" }
        found shouldBe listOf(
            "a.yaml:3:5 unknown field wait",
            "b.yaml:2:11 budget travel is declared twice",
            "b.yaml:3:19 organisation nobody is not declared",
            "b.yaml:4:13 field grants has a wrong value",
        )
    }

    listOf(
        Triple("tokens: 700", "tokens: 0", "fleet.yaml:16:17 field tokens has a wrong value"),
        Triple("tokens: 700", "tokens: -3", "fleet.yaml:16:17 field tokens has a wrong value"),
        Triple("tokens: 700", "tokens: 0x10", "fleet.yaml:16:17 field tokens has a wrong value"),
        Triple("tokens: 700", "tokens:", "fleet.yaml:16:16 field tokens has no value"),
        Triple("id: february", "id: january", "fleet.yaml:15:13 grant january is declared twice"),
        Triple("price: 5", "price: free", "fleet.yaml:28:16 field price has a wrong value"),
        Triple("        price: 5\n", "", "fleet.yaml:25:9 field price is missing"),
        Triple("http://127.0.0.1:9001", "127.0.0.1:9001", "fleet.yaml:33:10 field url has a wrong value"),
        Triple("http://127.0.0.1:9001", "http://127.0.0.1:9001/x", "fleet.yaml:33:10 field url has a wrong value"),
        Triple("domain: norte-1", "domain: norte.1", "fleet.yaml:32:13 field domain has a wrong value"),
        Triple("held_back: 0.05", "held_back: 1.5", "fleet.yaml:43:14 field held_back has a wrong value"),
        Triple("budget: travel", "budget: journeys", "fleet.yaml:7:17 budget journeys is not declared"),
        Triple(
            "group: desks\n    rules",
            "group: desk\n    rules",
            "fleet.yaml:23:12 upstream group desk is not declared"
        ),
        Triple("replica: norte-1.1", "replica: norte-1", "fleet.yaml:40:14 field replica has a wrong value"),
        Triple("weight: 2", "weight: 2\n    weight: 3", "fleet.yaml:4:5 malformed YAML"),
        Triple("settings:", "settings: [", "fleet.yaml:44:14 malformed YAML"),
    ).forEach { (from, to, expected) ->
        "a set with $to is refused at its place" {
            val found = findings(FLEET.replace(from, to))
            found.filter { it.startsWith(expected) } shouldBe found.take(1)
        }
    }

    "a rule that an earlier one covers is refused" {
        val rule = "      - method: POST\n        path: /bookings/one\n        idempotent: true\n        price: 1\n"
        findings(FLEET.replace("upstreams:", "${rule}upstreams:")) shouldBe
            listOf("fleet.yaml:30:15 the rule for POST /bookings/one never applies")
    }

    "a key may not draw on the budget of another organisation" {
        val other = "organisations:\n  - name: other\n"
        val text = FLEET.replace("organisations:\n", other).replace("organisation: norte", "organisation: other #")
        findings(text) shouldContain "fleet.yaml:8:17 budget travel belongs to another organisation"
    }

    "a file that is truncated at any position is refused" {
        (0 until FLEET.trimEnd().length).forEach { read(FLEET.take(it)).shouldBeInstanceOf<RejectedDeclarations>() }
    }

    "deeply nested input is refused without an exception" {
        findings("[".repeat(100_000) + "\n...") shouldContain "fleet.yaml:1:1 the line is too long"
        findings((1..1_500).joinToString("") { "[" + if (it % 10 == 0) "\n" else "" } + "\n...") shouldContain
            "fleet.yaml brackets are nested too deeply"
        read((0 until 900).joinToString("\n") { " ".repeat(it) + "a:" } + "\n...")
            .shouldBeInstanceOf<RejectedDeclarations>()
        findings("x: ".repeat(10) + "\n").size shouldBe 1
    }

    // The parser is recursive. Whether 900 levels overflow its stack depends on which methods are already JIT-compiled.
    listOf(
        "block" to (0 until 900).joinToString("\n") { " ".repeat(it) + "a:" } + "\n...",
        "compact" to "- ".repeat(900) + "a\n...",
    ).forEach { (kind, text) ->
        "$kind nesting is refused before it reaches the parser" {
            findings(text).filter { "the line is nested too deeply" in it }.size shouldBe
                if (kind == "block") 900 - 65 else 1
        }
    }

    "the maximum nesting depth is parsed on a small stack" {
        val text = (0..64).joinToString("\n") { " ".repeat(it) + "a:" } + "\n..."
        var failure: Throwable? = null
        val small = Thread(null, { failure = runCatching { findings(text) }.exceptionOrNull() }, "small stack", 256_000)
        small.start()
        small.join()
        failure shouldBe null
    }

    "a set beyond the number of files is refused" {
        val sources = List(DeclarationLimits.MAXIMUM_FILES + 1) { DeclarationSource("$it.yaml", "...") }
        readDeclarations(sources).shouldBeInstanceOf<RejectedDeclarations>()
    }
})
