package org.ibismoor.control

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import org.ibismoor.control.api.ControlProcess
import org.ibismoor.fleet.api.ControlSettings
import kotlin.io.path.fileSize
import kotlin.time.measureTimedValue

private const val RESTARTS = 5
private val HISTORIES = listOf(500, 2_000, 8_000)

/** Prints restart times after histories of several lengths. It asserts nothing and runs only when named explicitly. */
class RestartMeasurement : StringSpec({
    "restart times after histories of several lengths" {
        val folder = tempdir().toPath()
        val member = SingleMember(folder, ControlSettings())
        member.initialise()
        HISTORIES.fold(0) { published, changes ->
            member.start().use { member.publish(it, published + 1..changes) }
            val times = List(RESTARTS) { restartMillis(member) }.sorted()
            val bytes = folder.resolve("consensus.log").fileSize()
            println("changes=$changes restart_ms=${times[RESTARTS / 2]} all=$times consensus_log_bytes=$bytes")
            changes
        }
    }
})

private fun restartMillis(member: SingleMember): Long {
    val started = measureTimedValue { member.start() }
    started.value.use(ControlProcess::tables)
    return started.duration.inWholeMilliseconds
}
