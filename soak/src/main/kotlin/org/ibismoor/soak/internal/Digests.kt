/**
 * Digests by which bodies are compared.
 */
package org.ibismoor.soak.internal

import java.security.MessageDigest

private const val DIGEST_CHARACTERS = 16

internal fun digestOf(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }.take(DIGEST_CHARACTERS)
