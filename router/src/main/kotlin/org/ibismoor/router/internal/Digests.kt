/**
 * SHA-256 digests in lower-case hexadecimal, of API keys and of requests.
 */
package org.ibismoor.router.internal

import org.http4k.core.Request
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BodyDigest
import java.security.MessageDigest
import java.util.HexFormat

internal fun digestOf(apiKey: String): ApiKeyDigest = ApiKeyDigest(sha256(apiKey.toByteArray()))

/** Covers method and address too, so that a key cannot be used again for another call with the same body. */
internal fun digestOf(request: Request, body: ByteArray): BodyDigest =
    BodyDigest(sha256("${request.method} ${request.uri}\n".toByteArray(), body))

private fun sha256(vararg parts: ByteArray): String {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach(digest::update)
    return HexFormat.of().formatHex(digest.digest())
}
