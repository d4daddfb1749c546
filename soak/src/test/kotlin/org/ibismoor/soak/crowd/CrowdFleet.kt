/**
 * Control processes and a router of the users' platform with small limits, and stand-ins for the upstream list and one
 * plain service, on loopback addresses of their own.
 */
package org.ibismoor.soak.crowd

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.GroupSettings
import org.ibismoor.forwarding.api.WorkKind
import org.ibismoor.platform.api.CallFields
import org.ibismoor.platform.api.ConfigurationDescription
import org.ibismoor.platform.api.OrganisationDescription
import org.ibismoor.platform.api.PlatformPorts
import org.ibismoor.platform.api.ProcessDescription
import org.ibismoor.platform.api.RouteDescription
import org.ibismoor.platform.api.UpstreamAnswerFields
import org.ibismoor.platform.api.createPlatformDocuments
import org.ibismoor.platform.api.createPlatformFields
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.soak.internal.reserveNetwork
import org.ibismoor.testing.ProcessUnderTest
import java.io.IOException
import java.io.OutputStream
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors

private const val HOST = "crowd.example"
private const val KEY = "crowd-key"
private const val CONTROLS = 3
private const val UPSTREAM_PORT = 18_080
private const val UPSTREAM_HOST = 10
private const val LIST_HOST = 11
private const val TIMEOUT_MILLIS = 5_000
private const val BUDGET_TOKENS = 100_000_000L
private const val ANSWER_BYTES = 256 * 1024
private val PORTS = PlatformPorts(18_227, 18_220, 18_224, 18_229, 18_340)
private val GROUP = UpstreamGroupId("service")
private val ORGANISATION = OrganisationId("desk")

/** Memory limits of `deploy/system.toml`. */
private val JAVA_OPTIONS = listOf(
    "-Xmx64m",
    "-Xss256k",
    "-XX:+UseSerialGC",
    "-XX:TieredStopAtLevel=1",
    "-XX:MaxMetaspaceSize=64m",
    "-XX:ReservedCodeCacheSize=24m",
    "-XX:MaxDirectMemorySize=24m",
)

internal class CrowdFleet(private val folder: Path) : AutoCloseable {
    private val network = reserveNetwork()
    private val documents = createPlatformDocuments()
    private val fields = createPlatformFields()
    private val workers = Executors.newCachedThreadPool()
    private val upstream = serve(host(UPSTREAM_HOST)) { answerAttempt(it) }
    private val list = serve(host(LIST_HOST)) { it.answer(documents.listPage(listOf(entry())).encodeToByteArray()) }
    private val controls = (1..CONTROLS).map { start("control", it) }

    /** The control process on the VM of the router. */
    val control: ProcessUnderTest get() = controls.first()
    val router: ProcessUnderTest = start("router", 1)
    val routerAddress = InetSocketAddress(host(1), PORTS.callers)
    val controlAddress = InetSocketAddress(host(1), PORTS.control)

    /** Start of a request that a route of the configuration serves, up to its length. */
    val requestStart: String = "POST /once/1 HTTP/1.1\r\nHost: $HOST\r\n" + callHeaders().joinToString("") {
        "${it.key}: ${it.value}\r\n"
    }

    private fun callHeaders(): List<Map.Entry<String, String>> =
        DefaultHttpHeaders().also { fields.writeCall(CallFields("c1", KEY, TIMEOUT_MILLIS.toLong(), null), it) }
            .entries()

    /** Publishes the configuration at any control process; true once one has confirmed it. */
    fun publish(): Boolean = (1..CONTROLS).any { vm ->
        val document = documents.configuration(configuration())
        status("http://${host(vm)}:${PORTS.control}${documents.publishPath}", document.encodeToByteArray()) == OK
    }

    fun isRequestServed(): Boolean = isServed(ByteArray(2))

    /** Sends one request with [body]; true if the upstream's answer has arrived. */
    fun isServed(body: ByteArray, fields: Map<String, String> = emptyMap()): Boolean =
        status("http://${host(1)}:${PORTS.callers}/once/1", body, fields) == OK

    /** True if the control process that the crowd met confirms a read or names the leader. */
    fun isControlAnswering(): Boolean =
        status("http://${host(1)}:${PORTS.control}${documents.readPath}", null) in listOf(OK, REDIRECT)

    private fun status(url: String, body: ByteArray?, extra: Map<String, String> = emptyMap()): Int? =
        try {
            val call = URI(url).toURL().openConnection() as HttpURLConnection
            call.connectTimeout = TIMEOUT_MILLIS
            call.readTimeout = TIMEOUT_MILLIS
            call.instanceFollowRedirects = false
            call.setRequestProperty("Connection", "close")
            (callHeaders().associate { it.key to it.value } + extra + ("Host" to HOST))
                .forEach(call::setRequestProperty)
            call.doOutput = body != null
            body?.let { bytes -> call.outputStream.use { it.write(bytes) } }
            call.responseCode.also { if (it == OK) call.inputStream.use { answer -> answer.readAllBytes() } }
        } catch (_: IOException) {
            null
        }

    private fun start(role: String, vm: Int): ProcessUnderTest {
        val home = Files.createDirectories(folder.resolve("$role-$vm"))
        val settings = home.resolve("settings.json")
        val description = ProcessDescription(
            name = "$role-$vm",
            host = host(vm),
            domain = "domain-$vm",
            ports = PORTS,
            controlHosts = (1..CONTROLS).map(::host),
            isFirstStart = true,
            dataFolder = home.resolve("data").takeIf { role == "control" },
            upstreamList = ListenAddress(host(LIST_HOST), UPSTREAM_PORT),
        )
        Files.writeString(settings, documents.settings(description))
        val arguments = listOf(role, "--settings", settings.toString())
        return ProcessUnderTest(JAVA_OPTIONS, "org.ibismoor.platform.api.MainKt", arguments, home.resolve("log.txt"))
    }

    private fun configuration() = ConfigurationDescription(
        version = 1,
        host = HOST,
        routes = listOf(
            RouteDescription("once", "/once/", WorkKind.IDEMPOTENT, TIMEOUT_MILLIS.toLong(), GROUP, 2),
        ),
        groups = listOf(GroupSettings(GROUP, 400, engine = null)),
        organisations = listOf(OrganisationDescription(ORGANISATION, listOf(KEY), BUDGET_TOKENS)),
    )

    private fun entry() = UpstreamEntry(
        id = UpstreamId("u1"),
        group = GROUP,
        address = "${host(UPSTREAM_HOST)}:$UPSTREAM_PORT",
        domain = FailureDomainId("domain-1"),
        slots = 64,
        isLeaving = false,
        coldMillis = 0,
        version = SoftwareVersion("v1"),
    )

    private fun answerAttempt(call: HttpExchange) {
        val received = DefaultHttpHeaders()
        call.requestHeaders.forEach { (name, values) -> received.add(name, values) }
        call.requestBody.use { body -> body.transferTo(OutputStream.nullOutputStream()) }
        val callId = fields.readAttempt(received)?.callId.orEmpty()
        val answer = DefaultHttpHeaders().also { fields.writeAnswer(UpstreamAnswerFields(callId, "mark"), it) }
        answer.forEach { call.responseHeaders.set(it.key, it.value) }
        call.answer(ByteArray(ANSWER_BYTES))
    }

    private fun serve(host: String, handle: (HttpExchange) -> Unit): HttpServer {
        val server = HttpServer.create(InetSocketAddress(host, UPSTREAM_PORT), 0)
        server.executor = workers
        server.createContext("/") { call -> call.use(handle) }
        server.start()
        return server
    }

    private fun HttpExchange.use(handle: (HttpExchange) -> Unit) {
        try {
            handle(this)
        } finally {
            close()
        }
    }

    private fun HttpExchange.answer(body: ByteArray) {
        sendResponseHeaders(OK, body.size.toLong())
        responseBody.write(body)
    }

    private fun host(number: Int): String = "127.${network.number}.$number.2"

    override fun close() {
        router.close()
        controls.forEach { it.close() }
        listOf(upstream, list).forEach { it.stop(0) }
        workers.shutdownNow()
        network.close()
    }

    private companion object {
        const val OK = 200
        const val REDIRECT = 307

        init {
            // The JDK's client does not send a field Host of its own otherwise.
            System.setProperty("sun.net.http.allowRestrictedHeaders", "true")
        }
    }
}
