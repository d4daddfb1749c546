package org.ibismoor.control

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.status
import org.ibismoor.fleet.api.ControlSettings
import org.ibismoor.storage.api.openRecordLog

private const val RUNS = 6
private const val CHANGES = 30

/** Two records for each change before a snapshot is due, and room for retained entries, votes and first entries. */
private const val MAXIMUM_RECORDS = 150
private val settings = ControlSettings(snapshotEntries = 50, consensus = ConsensusSettings(retainedEntries = 10))

/** Guards against a log that grows without limit at a replica that always restarts before a snapshot is due. */
class RestartTest : StringSpec({
    "a replica that restarts often still writes snapshots and compacts its log" {
        val folder = tempdir().toPath()
        val member = SingleMember(folder, settings)
        member.initialise()
        (0 until RUNS).forEach { run ->
            member.start().use { process ->
                process.tables.fleet.configuration.number.value shouldBe run.toLong() * CHANGES
                member.publish(process, run * CHANGES + 1..(run + 1) * CHANGES)
            }
            val opened = openRecordLog(folder, "consensus")
            opened.log.close()
            opened.records.size shouldBeLessThan MAXIMUM_RECORDS
        }
        member.start().use { process ->
            process.tables.fleet.configuration.number.value shouldBe RUNS.toLong() * CHANGES
            process.tables.consensus.status().snapshotIndex shouldBeGreaterThan RUNS.toLong() * CHANGES / 2
        }
    }
})
