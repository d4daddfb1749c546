package org.ibismoor.control

import org.ibismoor.control.api.ControlMain
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText

private const val WAIT_SECONDS = 60L

/** A control process in its own JVM, started from the class path of the tests. Its output goes to [output]. */
internal class ControlChild(arguments: List<String>, private val output: Path) {
    private val process: Process = ProcessBuilder(COMMAND + arguments)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
        .start()

    val text: String get() = output.readText()

    fun kill() {
        process.destroyForcibly().waitFor(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Waits for the process to exit without a signal. */
    fun exitCode(): Int {
        check(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)) { "the process did not end: $text" }
        return process.exitValue()
    }

    private companion object {
        val COMMAND = listOf(
            System.getProperty("java.home") + "/bin/java",
            "-Xmx128m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            ControlMain::class.java.name,
        )
    }
}
