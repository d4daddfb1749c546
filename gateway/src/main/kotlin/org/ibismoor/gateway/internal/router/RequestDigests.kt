/**
 * Computes the digest of a request's content. Each field is preceded by its length, so that no two different requests
 * have the same input.
 */
package org.ibismoor.gateway.internal.router

import org.ibismoor.core.api.RequestDigest
import java.nio.ByteBuffer
import java.security.MessageDigest

/** 128 bits, so that a digest is short in reports and a collision by chance stays out of the question. */
private const val DIGEST_BYTES = 16

/** Headers are left out: repetitions have another call identifier and another deadline. */
internal fun ReceivedRequest.digest(): RequestDigest {
    val sha = MessageDigest.getInstance("SHA-256")
    sha.addField(host.encodeToByteArray())
    sha.addField(uri.encodeToByteArray())
    sha.addField(method.name().encodeToByteArray())
    sha.addField(fields.key?.text.orEmpty().encodeToByteArray())
    sha.addField(body)
    return RequestDigest(sha.digest().take(DIGEST_BYTES).joinToString("") { "%02x".format(it) })
}

private fun MessageDigest.addField(bytes: ByteArray) {
    update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
    update(bytes)
}
