/**
 * Supplies the value of the environment variable for each flag that is not given on the command line.
 */
package org.ibismoor.runtime.internal

import org.ibismoor.runtime.api.environmentNameOf
import picocli.CommandLine.IDefaultValueProvider
import picocli.CommandLine.Model.ArgSpec
import picocli.CommandLine.Model.OptionSpec

internal class EnvironmentDefaults(private val environment: Map<String, String>) : IDefaultValueProvider {
    override fun defaultValue(argument: ArgSpec): String? =
        (argument as? OptionSpec)?.takeUnless { it.usageHelp() || it.versionHelp() }
            ?.let { environment[environmentNameOf(it.longestName())] }
}
