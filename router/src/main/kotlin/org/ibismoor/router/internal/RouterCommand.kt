/**
 * Command line of the router. Each flag can be given as an environment variable instead.
 */
package org.ibismoor.router.internal

import org.ibismoor.router.api.RouterProcess
import org.ibismoor.router.api.RouterSettings
import org.ibismoor.router.api.startRouter
import org.tinylog.kotlin.Logger
import picocli.CommandLine.Command
import picocli.CommandLine.ExitCode
import picocli.CommandLine.Option
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ExecutionException

private const val BAD_SETTINGS = 2
private const val INTERNAL_ERROR = 70

@Command(
    name = "ibismoor-router",
    mixinStandardHelpOptions = true,
    description = ["Routes language-model requests and service calls of prepaid organisations."],
)
internal class RouterCommand : Callable<Int> {
    @Option(names = ["--router-id"], defaultValue = "\${env:IBISMOOR_ROUTER_ID}", description = ["unique name"])
    var routerId: String? = null

    @Option(names = ["--domain"], defaultValue = "\${env:IBISMOOR_DOMAIN}", description = ["own failure domain"])
    var domain: String? = null

    @Option(names = ["--listen"], defaultValue = "\${env:IBISMOOR_LISTEN}", description = ["IP number and port"])
    var listen: String? = null

    @Option(
        names = ["--public-url"],
        defaultValue = "\${env:IBISMOOR_PUBLIC_URL}",
        description = ["address that callers use, by default that of --listen"],
    )
    var publicUrl: String? = null

    @Option(
        names = ["--control"],
        split = ",",
        defaultValue = "\${env:IBISMOOR_CONTROL}",
        description = ["control process as domain=url; repeated, the own domain's first"],
    )
    var controls: List<String>? = null

    @Option(names = ["--seed"], defaultValue = "\${env:IBISMOOR_SEED}", description = ["seed of random decisions"])
    var seed: String? = null

    @Option(
        names = ["--in-flight-per-upstream"],
        defaultValue = "\${env:IBISMOOR_IN_FLIGHT_PER_UPSTREAM}",
        description = ["requests that this router runs at one upstream at a time, 32 by default"],
    )
    var inFlightPerUpstream: String? = null

    override fun call(): Int {
        val check = SettingsCheck(this)
        val settings = check.settings()
        return if (settings == null) {
            check.findings.forEach { Logger.error { "[router] bad setting: $it" } }
            BAD_SETTINGS
        } else {
            run(settings)
        }
    }

    private fun run(settings: RouterSettings): Int {
        val router = startRouter(settings)
        val closed = CountDownLatch(1)
        Logger.info { "[router] started id=${settings.id} domain=${settings.domain} port=${router.port}" }
        Runtime.getRuntime().addShutdownHook(Thread { drain(router, closed) })
        return waitFor(router).also { closed.countDown() }
    }

    /** The process ends when its hooks have ended, so this one waits for the drain and states the exit code. */
    private fun drain(router: RouterProcess, closed: CountDownLatch) {
        if (closed.count == 0L) return
        Logger.info { "[router] draining" }
        router.drain()
        closed.await()
        Runtime.getRuntime().halt(if (router.ended.isCompletedExceptionally) INTERNAL_ERROR else ExitCode.OK)
    }

    private fun waitFor(router: RouterProcess): Int =
        try {
            router.ended.get()
            router.close()
            Logger.info { "[router] drained" }
            ExitCode.OK
        } catch (e: ExecutionException) {
            Logger.error(e) { "[router] ended by an internal error" }
            INTERNAL_ERROR
        }
}
