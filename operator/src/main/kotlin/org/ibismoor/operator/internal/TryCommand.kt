/**
 * Command line of `ibismoor-try`, an end-to-end check of a fleet: requests the address list, sends one streamed chat
 * completion and one service call, and prints both answers as they arrive.
 */
package org.ibismoor.operator.internal

import org.ibismoor.membership.api.AddressList
import org.ibismoor.runtime.api.ExitCode
import org.ibismoor.runtime.api.PROGRAM_VERSION
import org.ibismoor.runtime.api.SettingTypes
import org.ibismoor.runtime.api.reportFindings
import org.ibismoor.runtime.api.requiredSetting
import org.ibismoor.runtime.api.settingFindings
import org.ibismoor.runtime.api.unknownFindings
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Unmatched
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.UUID
import java.util.concurrent.Callable

private const val TIMEOUT_SECONDS = 20L
private const val SUCCESS_STATUS_CLASS = 2
private const val STATUS_CLASS_SIZE = 100
private const val END_OF_STREAM = "data: [DONE]"

@Command(
    name = "ibismoor-try",
    description = ["Sends one streamed chat completion and one service call through a router."],
    mixinStandardHelpOptions = true,
    version = [PROGRAM_VERSION],
)
internal class TryCommand : Callable<Int> {
    @Option(names = ["--router"], description = ["Base URL of any router."])
    private var router: String? = null

    @Option(names = ["--domain"], description = ["Failure domain of the caller."])
    private var domain: String? = null

    @Option(names = ["--key"], description = ["API key. Prefer IBISMOOR_KEY, which hides it from process lists."])
    private var key: String? = null

    @Option(names = ["--model"], description = ["Model of the chat completion."])
    private var model: String? = null

    @Option(names = ["--service-path"], description = ["Path of a service call, such as /services/desk/bookings."])
    private var servicePath: String? = null

    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    @Unmatched
    private var unknown: List<String> = ArrayList()

    override fun call(): Int {
        val routerUrl = requiredSetting("--router", router, SettingTypes.baseUrl)
        val callerDomain = requiredSetting("--domain", domain, SettingTypes.failureDomain)
        val apiKey = requiredSetting("--key", key, SettingTypes.text)
        val modelName = requiredSetting("--model", model, SettingTypes.text)
        val callPath = requiredSetting("--service-path", servicePath, SettingTypes.text)
        val findings =
            settingFindings(routerUrl, callerDomain, apiKey, modelName, callPath) + unknownFindings(unknown)
        return if (findings.isEmpty()) tryFleet(routerUrl.value, callerDomain.value.text) else reportFindings(findings)
    }

    private fun tryFleet(routerUrl: String, callerDomain: String): Int =
        try {
            val list = requestAddresses(routerUrl, callerDomain)
            val address = list?.addresses?.firstOrNull()?.url
            if (list == null || address == null) {
                reportFailure("$routerUrl returned no address for domain $callerDomain; see its answer above")
            } else {
                sendBoth(address, list.keyPrefix)
            }
        } catch (e: IOException) {
            System.err.println("no answer from $routerUrl or an address that it returned: ${e.message}")
            ExitCode.UNAVAILABLE
        }

    private fun requestAddresses(routerUrl: String, callerDomain: String): AddressList? {
        val response = client.send(
            HttpRequest.newBuilder(URI("$routerUrl/v1/addresses?domain=$callerDomain")).timeout(timeout()).build(),
            HttpResponse.BodyHandlers.ofString(),
        )
        println("addresses: ${response.body()}")
        return (decodeJson(AddressList.serializer(), response.body()) as? Decoded.Value)?.value
    }

    private fun sendBoth(address: String, keyPrefix: String): Int {
        val chat = """{"model":"$model","stream":true,"max_tokens":32,""" +
            """"messages":[{"role":"user","content":"Summarise the custody handover."}]}"""
        val chatLines = post("$address/v1/chat/completions", chat, UUID.randomUUID().toString())
        val isChatComplete = chatLines?.lastOrNull { it.isNotBlank() } == END_OF_STREAM
        val bookingLines = post(address + servicePath, """{"seats":2}""", keyPrefix + UUID.randomUUID())
        return if (isChatComplete && bookingLines != null) {
            ExitCode.SUCCESS
        } else {
            reportFailure("the chat answer did not end with \"$END_OF_STREAM\" or a call failed; see the answers above")
        }
    }

    /** Prints the lines of the answer as they arrive and returns them, or null if the status is not a success. */
    private fun post(url: String, body: String, requestKey: String): List<String>? {
        println("POST $url")
        val request = HttpRequest.newBuilder(URI(url))
            .header("Authorization", "Bearer $key")
            .header("Content-Type", "application/json")
            .header("Idempotency-Key", requestKey)
            .timeout(timeout())
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
        val response = client.send(request, HttpResponse.BodyHandlers.ofLines())
        val lines = response.body().use { stream -> stream.peek { println("  $it") }.toList() }
        println("  status ${response.statusCode()}")
        return lines.takeIf { response.statusCode() / STATUS_CLASS_SIZE == SUCCESS_STATUS_CLASS }
    }

    private fun timeout(): Duration = Duration.ofSeconds(TIMEOUT_SECONDS)

    private fun reportFailure(problem: String): Int {
        System.err.println(problem)
        return ExitCode.FINDINGS
    }
}
