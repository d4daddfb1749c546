package org.ibismoor.memory

import io.kotest.core.spec.style.StringSpec
import org.ibismoor.testing.checkPurity

/**
 * Guards against a decision that cannot be replayed because it read a clock, a file, a socket or unseeded randomness.
 */
class MemoryIsPureTest : StringSpec({
    "no class depends on clocks, files, sockets, threads or unseeded randomness" {
        checkPurity("org.ibismoor.memory")
    }
})
