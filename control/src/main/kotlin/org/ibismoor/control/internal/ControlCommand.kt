/**
 * Command line of `ibismoor-control`.
 */
package org.ibismoor.control.internal

import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import picocli.CommandLine.Command
import java.util.concurrent.Callable

@Command(
    name = "ibismoor-control",
    description = ["Control process of a router fleet."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
    subcommands = [InitCommand::class, RunCommand::class],
)
internal class ControlCommand : Callable<Int> {
    override fun call(): Int {
        System.err.println("name a subcommand: init or run")
        return ExitCode.USAGE
    }
}
