/**
 * Gives each flag the value of its environment variable when the flag is not given.
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
