/**
 * Command line of the router. Each option can be set by an environment variable instead.
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

private const val INVALID_SETTINGS_EXIT_CODE = 2
private const val INTERNAL_ERROR_EXIT_CODE = 70

@Command(
    name = "ibismoor-router",
    mixinStandardHelpOptions = true,
    description = ["Routes language-model requests and service calls of prepaid organisations."],
)
internal class RouterCommand : Callable<Int> {
    @Option(names = ["--router-id"], defaultValue = "\${env:IBISMOOR_ROUTER_ID}", description = ["unique router name"])
    var routerId: String? = null

    @Option(names = ["--domain"], defaultValue = "\${env:IBISMOOR_DOMAIN}", description = ["own failure domain"])
    var domain: String? = null

    @Option(names = ["--listen"], defaultValue = "\${env:IBISMOOR_LISTEN}", description = ["IP address and port"])
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
        description = ["control process as domain=url; repeat or separate by commas, own domain first"],
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
            check.findings.forEach { Logger.error { "[router] invalid setting: $it" } }
            INVALID_SETTINGS_EXIT_CODE
        } else {
            run(settings)
        }
    }

    private fun run(settings: RouterSettings): Int {
        val router = startRouter(settings)
        val closeLatch = CountDownLatch(1)
        Logger.info { "[router] started id=${settings.id} domain=${settings.domain} port=${router.port}" }
        Runtime.getRuntime().addShutdownHook(Thread { drain(router, closeLatch) })
        return awaitTermination(router).also { closeLatch.countDown() }
    }

    /** The process exits when its shutdown hooks return, so this hook waits for the drain and sets the exit code. */
    private fun drain(router: RouterProcess, closeLatch: CountDownLatch) {
        if (closeLatch.count == 0L) return
        Logger.info { "[router] draining" }
        router.drain()
        closeLatch.await()
        val hasFailed = router.termination.isCompletedExceptionally
        Runtime.getRuntime().halt(if (hasFailed) INTERNAL_ERROR_EXIT_CODE else ExitCode.OK)
    }

    private fun awaitTermination(router: RouterProcess): Int =
        try {
            router.termination.get()
            router.close()
            Logger.info { "[router] drained" }
            ExitCode.OK
        } catch (e: ExecutionException) {
            Logger.error(e) { "[router] terminated by an internal error" }
            INTERNAL_ERROR_EXIT_CODE
        }
}
