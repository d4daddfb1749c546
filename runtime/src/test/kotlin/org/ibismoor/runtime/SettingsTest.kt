/**
 * Guards against programs that start with invalid settings, report only the first of several problems, or ignore an
 * environment variable.
 */
package org.ibismoor.runtime

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.optionalSetting
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.runProgram
import org.ibismoor.runtime.api.settingFindings
import picocli.CommandLine
import java.util.concurrent.Callable

@CommandLine.Command(name = "probe")
private class ProbeCommand : Callable<Int> {
    @CommandLine.Option(names = ["--data-folder"])
    var folder: String? = null

    @CommandLine.Option(names = ["--count"])
    var count: String? = null

    override fun call(): Int = if (folder == "/data") count?.toInt() ?: ExitCode.SUCCESS else ExitCode.USAGE
}

class SettingsTest : StringSpec({
    "all invalid settings are reported together" {
        val findings = settingFindings(
            requiredSetting("--domain", null, SettingTypes.failureDomain),
            requiredSetting("--listen", "127.0.0.1", SettingTypes.listenAddress),
            optionalSetting("--peer", "ftp://127.0.0.1:1", SettingTypes.baseUrl),
            optionalSetting("--count", null, SettingTypes.wholeNumber(1L..9)),
            requiredSetting("--name", "router-1", SettingTypes.name),
        )
        findings.map { "${it.place} ${it.problem}" } shouldBe listOf(
            "--domain or IBISMOOR_DOMAIN the setting is missing",
            "--listen or IBISMOOR_LISTEN the value is wrong",
            "--peer or IBISMOOR_PEER the value is wrong",
        )
    }

    "invalid values of each type are rejected" {
        listOf("", "10", "0", "-1", "1.5", "99999999999999999999").map(SettingTypes.wholeNumber(1L..9)::parse)
            .all { it == null } shouldBe true
        listOf("norte", "norte-1.0", "norte-1.01", "Norte.1").map(SettingTypes.replica::parse)
            .all { it == null } shouldBe true
        listOf("http://h", "http://h:70000", "http://h:1/p", "h:1", "http://:1").map(SettingTypes.baseUrl::parse)
            .all { it == null } shouldBe true
        SettingTypes.listOf(SettingTypes.name).parse("a,,b") shouldBe null
        SettingTypes.listOf(SettingTypes.name).parse("a, b") shouldBe listOf("a", "b")
    }

    "an environment variable replaces its flag, and the flag takes precedence" {
        val environment = mapOf("IBISMOOR_DATA_FOLDER" to "/data", "IBISMOOR_COUNT" to "3")
        runProgram(ProbeCommand(), emptyArray(), environment) shouldBe 3
        runProgram(ProbeCommand(), arrayOf("--count", "5"), environment) shouldBe 5
        runProgram(ProbeCommand(), arrayOf("--data-folder", "/other"), environment) shouldBe ExitCode.USAGE
    }

    "an unknown flag exits with the usage code" {
        runProgram(ProbeCommand(), arrayOf("--colour", "red"), emptyMap()) shouldBe ExitCode.USAGE
    }
})
