/**
 * Command lines of the fleet's programs, as the deployment file states them.
 */
package org.ibismoor.soak.internal.process

import org.ibismoor.soak.internal.FleetLayout
import org.ibismoor.soak.internal.isControl
import java.nio.file.Files
import java.nio.file.Path

private const val JAR_OPTION = "-jar"

/**
 * [root] is the folder in which the programs run. With [classPath], they are started from compiled classes in place of
 * the jar that the deployment names.
 */
internal class ProcessCommands(val root: Path, private val classPath: String? = null) {
    private val deployment = Files.readString(root.resolve("deploy/system.toml"))

    fun command(role: String, settings: Path, bindHost: String): List<String> =
        programOf(role) + listOf(role, "--settings", settings.toString(), "--bind-host", bindHost)

    private fun programOf(role: String): List<String> {
        val line = Regex("""run = "([^"]*) $role"""").find(deployment)
        val words = checkNotNull(line) { "deploy/system.toml has no run line for the role $role" }
            .groupValues[1].split(' ')
        return if (classPath == null) words else words.dropLastWhile { it != JAR_OPTION }.dropLast(1) + mainClass()
    }

    private fun mainClass(): List<String> = listOf("-cp", classPath.orEmpty(), "org.ibismoor.platform.api.MainKt")
}

internal fun FleetLayout.roleOf(process: String): String = if (isControl(process)) "control" else "router"
