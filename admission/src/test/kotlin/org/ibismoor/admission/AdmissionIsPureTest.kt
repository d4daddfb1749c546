package org.ibismoor.admission

import io.kotest.core.spec.style.StringSpec
import org.ibismoor.testing.checkPurity

/**
 * Guards against decisions that cannot be replayed because they read a clock, a file, a socket or unseeded randomness.
 */
class AdmissionIsPureTest : StringSpec({
    "no class depends on clocks, files, sockets, threads or unseeded randomness" {
        checkPurity("org.ibismoor.admission")
    }
})
