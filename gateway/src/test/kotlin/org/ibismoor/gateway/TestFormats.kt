/**
 * Minimal platform formats for the tests of this module.
 */
package org.ibismoor.gateway

import io.netty.handler.codec.http.HttpHeaders
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.forwarding.api.AttemptTerms
import org.ibismoor.forwarding.api.CallerLimits
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.GroupSettings
import org.ibismoor.forwarding.api.RouteRow
import org.ibismoor.forwarding.api.RouteTarget
import org.ibismoor.forwarding.api.WorkKind
import org.ibismoor.gateway.api.AnswerFields
import org.ibismoor.gateway.api.CheckedConfiguration
import org.ibismoor.gateway.api.ConfigurationFormat
import org.ibismoor.gateway.api.HttpDialect
import org.ibismoor.gateway.api.PlatformFormats
import org.ibismoor.gateway.api.RequestFields
import org.ibismoor.gateway.api.UpstreamListFormat
import org.ibismoor.gateway.api.UpstreamPage
import org.ibismoor.gateway.api.ValidConfiguration

internal val WORKERS = UpstreamGroupId("workers")

internal val testFormats = PlatformFormats(TestDialect, TestConfigurations, TestLists)

internal object TestDialect : HttpDialect {
    override fun readRequestFields(headers: HttpHeaders): RequestFields? =
        headers.get("Call-Id")?.let { RequestFields(it, null, headers.get("Deadline")?.toLong(), null, null) }

    override fun writeAttemptFields(upstream: UpstreamEntry, terms: AttemptTerms, headers: HttpHeaders) {
        headers.set("Deadline", terms.remainingMillis.toString())
    }

    override fun requestEventsAfter(lastEventId: Long, headers: HttpHeaders) {
        headers.set("After", lastEventId.toString())
    }

    override fun readAnswerFields(status: Int, headers: HttpHeaders): AnswerFields =
        AnswerFields(
            callId = headers.get("Call-Id"),
            isMarked = headers.contains("Mark"),
            isNotExecuted = headers.contains("Not-Run"),
            isOtherUpstream = false,
            isLeaving = headers.contains("Leaving"),
            load = null,
        )
}

internal object TestConfigurations : ConfigurationFormat {
    override fun check(document: String): CheckedConfiguration =
        ValidConfiguration(PublishedConfiguration(document.toLong(), document, emptyMap()))

    override fun read(document: String): ForwardingConfiguration {
        val routes = persistentListOf(
            route("/once/", WorkKind.NON_IDEMPOTENT),
            route("/again/", WorkKind.IDEMPOTENT),
            route("/stream/", WorkKind.STREAM),
            route("/resume/", WorkKind.RESUMABLE_STREAM),
        )
        return ForwardingConfiguration(
            version = document.toLong(),
            routes = persistentHashMapOf("desk.example" to routes),
            groups = persistentHashMapOf(WORKERS to GroupSettings(WORKERS, 10, null)),
            organisations = persistentHashMapOf(),
            keys = persistentHashMapOf(),
            limits = CallerLimits(headerBytes = 2_000, bodyBytes = 5_000),
        )
    }

    private fun route(prefix: String, kind: WorkKind): RouteRow =
        RouteRow(
            id = RouteId(prefix.trim('/')),
            host = "desk.example",
            pathPrefix = prefix,
            kind = kind,
            timeoutMillis = 3_000,
            objectiveMillis = 400,
            priority = 0,
            targets = persistentListOf(RouteTarget(WORKERS, 1)),
            maximumAttempts = 2,
            isPublic = true,
        )
}

internal object TestLists : UpstreamListFormat {
    override fun pagePath(token: String?): String = "/list"

    override fun readPage(body: String): UpstreamPage = UpstreamPage(emptyList(), null, 0)
}
