/**
 * Command line of `ibismoor-bench-capacity`: measures processor time, bytes and memory of the control roles at several
 * sizes, with the decision code and the message formats of the processes.
 */
package org.ibismoor.bench.capacity.internal

import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

@Command(
    name = "ibismoor-bench-capacity",
    description = ["Measures the slopes behind the capacity page."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class CapacityCommand : Callable<Int> {
    @Option(names = ["--only"], description = ["Name of one measurement: \${COMPLETION-CANDIDATES}"])
    private var only: MeasurementName? = null

    @Spec
    private lateinit var spec: CommandSpec

    override fun call(): Int {
        val out = spec.commandLine().out
        measurements().filter { only == null || it.name == only }.forEach { measurement ->
            measurement.sizes.forEach { size ->
                val figures = measurement.measure(size).joinToString(", ") { it.text() }
                out.println("${measurement.name} at $size ${measurement.unit}: $figures")
                out.flush()
            }
        }
        return ExitCode.SUCCESS
    }
}
