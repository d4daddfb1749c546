package org.ibismoor.control

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.ibismoor.control.api.ControlProcessSettings
import org.ibismoor.control.api.Misconfigured
import org.ibismoor.control.api.initialiseLearner
import org.ibismoor.control.api.initialiseMember
import org.ibismoor.control.api.startControl
import org.ibismoor.control.internal.ControlCommand
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.runProgram
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path

private val self = ReplicaId(FailureDomainId("norte-1"), 1)
private val other = ReplicaId(FailureDomainId("norte-2"), 1)

private fun standardErrorOf(run: () -> Unit): List<String> {
    val bytes = ByteArrayOutputStream()
    val before = System.err
    System.setErr(PrintStream(bytes, true))
    try {
        run()
    } finally {
        System.setErr(before)
    }
    return bytes.toString().lines().filter { it.isNotBlank() }
}

private fun start(folder: Path, port: Int) =
    startControl(ControlProcessSettings(self, folder, "127.0.0.1", port, emptyMap(), seed = 1))

/** Guards against a start that reports only the first invalid setting, or a stack trace instead of a remedy. */
class SettingsTest : StringSpec({
    "an unknown flag and all invalid settings are reported together, one per line" {
        val arguments = arrayOf("run", "--replica", "norte", "--listen", "7001", "--peers", "x", "--colour", "red")
        var code = -1
        val lines = standardErrorOf { code = runProgram(ControlCommand(), arguments, emptyMap()) }
        code shouldBe ExitCode.USAGE
        lines.map { it.substringBefore(' ').removeSuffix(":") } shouldBe
            listOf("--data-folder", "--replica", "--listen", "--peers", "--colour")
        lines.forEach { it shouldContain "; " }
    }

    "a port in use is a finding with a remedy, and the lock on the folder is released" {
        val folder = tempdir().toPath()
        initialiseLearner(folder, self) shouldBe null
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { socket ->
            repeat(2) {
                val finding = start(folder, socket.localPort).shouldBeInstanceOf<Misconfigured>().findings.single()
                finding.toString() shouldContain "--listen or IBISMOOR_LISTEN: cannot listen on 127.0.0.1:"
            }
        }
    }

    "a founder without the address of another founder reports which one is missing" {
        val folder = tempdir().toPath()
        initialiseMember(folder, self, listOf(self, other)) shouldBe null
        val findings = start(folder, 0).shouldBeInstanceOf<Misconfigured>().findings
        findings shouldHaveSize 1
        findings.single().problem shouldContain "norte-2.1"
    }
})
