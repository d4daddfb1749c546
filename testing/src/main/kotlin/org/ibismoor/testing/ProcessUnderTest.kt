/**
 * A Java process with small limits, started from the class path of the tests, and what the operating system says about
 * its memory and descriptors.
 */
package org.ibismoor.testing

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText

private const val END_SECONDS = 10L
private const val BYTES_PER_KILOBYTE = 1024L

class ProcessUnderTest(javaOptions: List<String>, mainClass: String, arguments: List<String>, private val log: Path) :
    AutoCloseable {
    private val process: Process = ProcessBuilder(
        listOf(System.getProperty("java.home") + "/bin/java") + javaOptions +
            listOf("-cp", testClassPath(), mainClass) + arguments,
    ).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start()

    val isAlive: Boolean get() = process.isAlive

    val text: String get() = log.readText()

    /** Most resident bytes since the start, as the kernel counts them; 0 after the end of the process. */
    val peakBytes: Long
        get() = statusLines().firstOrNull { it.startsWith("VmHWM:") }
            ?.filter(Char::isDigit)?.toLong()?.times(BYTES_PER_KILOBYTE) ?: 0

    val openDescriptors: Int get() = folder("fd").toFile().list()?.size ?: 0

    private fun statusLines(): List<String> = if (isAlive) Files.readAllLines(folder("status")) else emptyList()

    private fun folder(name: String): Path = Path.of("/proc", process.pid().toString(), name)

    override fun close() {
        process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS)
    }
}

/** Surefire starts tests with a class path of one jar and keeps the real one in a property. */
private fun testClassPath(): String =
    System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"))
