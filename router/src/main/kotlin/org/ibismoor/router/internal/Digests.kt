/**
 * SHA-256 digests of API keys and requests in lower-case hexadecimal.
 */
package org.ibismoor.router.internal

import org.http4k.core.Request
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BodyDigest
import java.security.MessageDigest
import java.util.HexFormat

internal fun digestOf(apiKey: String): ApiKeyDigest = ApiKeyDigest(sha256(apiKey.toByteArray()))

/** Covers method and URI too, so that a key reused for another call with the same body is detected. */
internal fun digestOf(request: Request, body: ByteArray): BodyDigest =
    BodyDigest(sha256("${request.method} ${request.uri}\n".toByteArray(), body))

private fun sha256(vararg parts: ByteArray): String {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach(digest::update)
    return HexFormat.of().formatHex(digest.digest())
}
