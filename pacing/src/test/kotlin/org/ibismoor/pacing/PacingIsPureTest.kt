package org.ibismoor.pacing

import io.kotest.core.spec.style.StringSpec
import org.ibismoor.testing.checkPurity

/**
 * Guards against decisions that cannot be replayed because they depend on a clock, a file, a socket, a thread or
 * unseeded randomness.
 */
class PacingIsPureTest : StringSpec({
    "no class depends on clocks, files, sockets, threads or unseeded randomness" {
        checkPurity("org.ibismoor.pacing")
    }
})
