package org.ibismoor.control

import org.ibismoor.core.api.ReplicaId

internal const val FIRST_GRANT = 1_000_000L

/** Declarations of one organisation and one budget with grants 1 to [grants], the first of a million tokens. */
internal fun declared(grants: Int, members: Map<ReplicaId, String> = emptyMap()): String {
    val control = members.map { (replica, url) -> "  - replica: $replica\n    url: $url\n" }
    val rows = (1..grants).map { "      - id: grant-$it\n        tokens: ${if (it == 1) FIRST_GRANT else 1}\n" }
    val head = """
        |organisations:
        |  - name: travel
        |budgets:
        |  - name: prepaid
        |    organisation: travel
        |    grants:
        |
    """.trimMargin()
    return head + rows.joinToString("") + (if (control.isEmpty()) "" else "control:\n") + control.joinToString("") +
        "...\n"
}
