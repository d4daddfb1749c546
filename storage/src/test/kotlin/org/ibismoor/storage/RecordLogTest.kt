package org.ibismoor.storage

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.openRecordLog
import java.io.RandomAccessFile
import java.nio.file.Path
import kotlin.io.path.fileSize

private fun write(folder: Path, vararg appends: List<String>) {
    openRecordLog(folder, "log").log.use { log -> appends.forEach(log::append) }
}

private fun read(folder: Path): List<String> {
    val opened = openRecordLog(folder, "log")
    opened.log.close()
    return opened.records
}

private fun Path.flipBit(offset: Long) = RandomAccessFile(toFile(), "rw").use { file ->
    file.seek(offset)
    val byte = file.read()
    file.seek(offset)
    file.write(byte xor 1)
}

private fun Path.truncateBy(bytes: Long) = RandomAccessFile(toFile(), "rw").use { it.setLength(it.length() - bytes) }

class RecordLogTest : StringSpec({
    "records with any text are read back in order" {
        val folder = tempdir().toPath()
        write(folder, listOf("one", ""), listOf("żółć \uD83D\uDE9A"))
        write(folder, listOf("four"))
        read(folder) shouldBe listOf("one", "", "żółć \uD83D\uDE9A", "four")
    }

    "a torn tail of any length is truncated and reported, and later appends follow the valid records" {
        val size = 24L + 5
        (1..size).forEach { cut ->
            val folder = tempdir().toPath()
            write(folder, listOf("alpha"), listOf("bravo", "carol"))
            folder.resolve("log.log").truncateBy(cut)
            val opened = openRecordLog(folder, "log")
            opened.records shouldBe listOf("alpha", "bravo")
            opened.tornTail?.bytes shouldBe (size - cut).takeIf { it > 0 }
            opened.log.append(listOf("delta"))
            opened.log.close()
            read(folder) shouldBe listOf("alpha", "bravo", "delta")
        }
    }

    "a write whose later part reached the disk before its first part is a torn tail" {
        val folder = tempdir().toPath()
        write(folder, listOf("alpha"), listOf("bravo", "carol"))
        folder.resolve("log.log").flipBit(24L + 5 + 24)
        read(folder) shouldBe listOf("alpha")
    }

    "damage before the tail is an error that names the file and the offset" {
        val folder = tempdir().toPath()
        write(folder, listOf("alpha"), listOf("bravo"), listOf("carol"))
        folder.resolve("log.log").flipBit(24L + 5 + 25)
        val error = shouldThrow<StorageException> { read(folder) }
        error.message shouldContain "log.log is damaged at offset 29"
    }

    "a replacement removes all earlier records" {
        val folder = tempdir().toPath()
        openRecordLog(folder, "log").log.use { log ->
            log.append(List(1_000) { "record $it" })
            log.replace(listOf("snapshot"))
            log.append(listOf("after"))
            log.sizeBytes shouldBe folder.resolve("log.log").fileSize()
        }
        read(folder) shouldBe listOf("snapshot", "after")
    }

    "a log that is open cannot be opened again" {
        val folder = tempdir().toPath()
        openRecordLog(folder, "log").log.use {
            shouldThrow<StorageException> { openRecordLog(folder, "log") }.message shouldContain "in use"
        }
        read(folder) shouldBe emptyList()
    }

    "a closed log accepts no records" {
        val log = openRecordLog(tempdir().toPath(), "log").log
        log.close()
        shouldThrow<StorageException> { log.append(listOf("late")) }
    }
})
