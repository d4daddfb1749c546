/**
 * Command line of `ibismoor-standin`, with one subcommand for each kind of stand-in.
 */
package org.ibismoor.standin.internal

import org.ibismoor.standin.api.EngineFaults
import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.standin.api.PlatformSettings
import org.ibismoor.standin.api.ServiceSettings
import org.ibismoor.standin.api.startEngine
import org.ibismoor.standin.api.startPlatform
import org.ibismoor.standin.api.startService
import org.ibismoor.standin.api.steadyPace
import org.tinylog.kotlin.Logger
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path

@Command(
    name = "ibismoor-standin",
    mixinStandardHelpOptions = true,
    subcommands = [EngineCommand::class, ServiceCommand::class, PlatformCommand::class],
    description = ["Stand-ins for upstreams and the platform."],
)
internal class StandInCommand

internal abstract class ListenCommand : Runnable {
    @Option(names = ["--listen"], required = true, description = ["IP address and port"])
    lateinit var listen: String

    val host: String get() = listen.substringBeforeLast(':')
    val port: Int get() = listen.substringAfterLast(':').toInt()

    protected fun logStartAndWait(kind: String, port: Int) {
        Logger.info { "[standin] $kind started port=$port" }
        Thread.currentThread().join()
    }
}

@Command(name = "engine", mixinStandardHelpOptions = true, description = ["A model engine."])
internal class EngineCommand : ListenCommand() {
    @Option(names = ["--slots"], defaultValue = "32", description = ["maximum concurrent answers"])
    var slots: Int = 0

    @Option(names = ["--tokens-per-second"], defaultValue = "40", description = ["token rate of each answer"])
    var tokensPerSecond: Double = 0.0

    @Option(names = ["--first-token-ms"], defaultValue = "20", description = ["milliseconds to the first token"])
    var firstTokenMillis: Long = 0

    @Option(names = ["--answer-tokens"], defaultValue = "100", description = ["tokens of an answer"])
    var answerTokens: Int = 0

    @Option(names = ["--break-after"], description = ["break off answers after this many chunks"])
    var breakAfterChunks: Int? = null

    @Option(names = ["--wrong-request-id"], description = ["answers carry the id of another request"])
    var hasWrongRequestId: Boolean = false

    @Option(names = ["--no-usage"], description = ["answers omit the usage"])
    var omitsUsage: Boolean = false

    override fun run() {
        val pace = steadyPace(firstTokenMillis, tokensPerSecond)
        val faults = EngineFaults(breakAfterChunks, hasWrongRequestId, omitsUsage)
        logStartAndWait("engine", startEngine(EngineSettings(host, port, slots, answerTokens, pace, faults)).port)
    }
}

@Command(name = "service", mixinStandardHelpOptions = true, description = ["A booking service."])
internal class ServiceCommand : ListenCommand() {
    @Option(names = ["--delay-ms"], defaultValue = "0", description = ["milliseconds that a booking takes"])
    var delayMillis: Long = 0

    @Option(names = ["--lose-answers"], description = ["execute bookings but break off their answers"])
    var losesAnswers: Boolean = false

    override fun run() {
        logStartAndWait("service", startService(ServiceSettings(host, port, delayMillis, losesAnswers)).port)
    }
}

@Command(name = "platform", mixinStandardHelpOptions = true, description = ["The platform's list of VMs."])
internal class PlatformCommand : ListenCommand() {
    @Option(names = ["--file"], required = true, description = ["one VM per line: name, then live or leaving"])
    lateinit var file: Path

    @Option(names = ["--lag-ms"], defaultValue = "5000", description = ["minimum delay of a change in milliseconds"])
    var lagMillis: Long = 0

    override fun run() {
        logStartAndWait("platform", startPlatform(PlatformSettings(host, port, file, lagMillis)).port())
    }
}
