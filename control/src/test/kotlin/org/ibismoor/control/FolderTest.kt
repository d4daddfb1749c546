package org.ibismoor.control

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.ibismoor.control.api.initialiseLearner
import org.ibismoor.control.api.initialiseMember
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.runtime.api.ExitCode
import java.io.RandomAccessFile
import java.nio.file.Path
import kotlin.io.path.appendBytes
import kotlin.io.path.deleteExisting

/** Lies within the text of the first record, whose header has 24 bytes. */
private const val EARLY_OFFSET = 30L
private const val LOST = 2

private fun Path.flipBit(offset: Long) = RandomAccessFile(toFile(), "rw").use { file ->
    file.seek(offset)
    val byte = file.read()
    file.seek(offset)
    file.write(byte xor 1)
}

private fun startRefused(group: ControlGroup, node: Int, vararg texts: String) {
    val child = group.start(node)
    child.exitCode() shouldBe ExitCode.UNSAFE_DATA_FOLDER
    texts.forEach { child.text shouldContain it }
}

private fun replaceByNextEpoch(group: ControlGroup, node: Int) {
    val next = ReplicaId(group.members[node].domain, 2)
    group.dataFolder(node).toFile().deleteRecursively()
    check(initialiseLearner(group.dataFolder(node), next) == null)
    val members = group.members.indices.associate { (if (it == node) next else group.members[it]) to group.url(it) }
    group.publishAnywhere(2, declared(2, members), group.members.indices - node)
    group.start(node, next)
    awaitTrue("the promotion of the next epoch") {
        group.status(node)?.let { status ->
            status.configuration == 2L && status.members.map { it.replica to it.isVoter }.toSet() ==
                members.keys.map { it to true }.toSet()
        } == true
    }
}

/** Guards against a replica that votes twice because it lost its vote, and against undetected damage of a log. */
class FolderTest : StringSpec({
    "a lost folder is refused, also after it was created again, and the next epoch replaces the replica" {
        withGroup(tempdir().toPath()) { group ->
            group.publishAnywhere(1, declared(1))
            group.child(LOST).kill()
            group.dataFolder(LOST).toFile().deleteRecursively()
            startRefused(group, LOST, "does not exist; run init")
            check(initialiseMember(group.dataFolder(LOST), group.members[LOST], group.members) == null)
            startRefused(group, LOST, "another folder of norte-3.1 has been in the group", "declare the next epoch")
            replaceByNextEpoch(group, LOST)
        }
    }

    "a torn tail is truncated and reported; damage before it and a lost log are refused" {
        withGroup(tempdir().toPath()) { group ->
            (1..3L).forEach { group.publishAnywhere(it, declared(it.toInt())) }
            group.child(0).kill()
            val log = group.dataFolder(0).resolve("consensus.log")
            log.appendBytes(ByteArray(5))
            group.start(0)
            awaitTrue("the restart") { group.status(0)?.configuration == 3L }
            group.child(0).text shouldContain "cut a torn tail"
            group.child(0).kill()
            log.flipBit(EARLY_OFFSET)
            startRefused(group, 0, "consensus.log is damaged at offset 0")
            log.deleteExisting()
            startRefused(group, 0, "has lost consensus.log; declare the next epoch")
        }
    }
})
