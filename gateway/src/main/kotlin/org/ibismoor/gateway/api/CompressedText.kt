/**
 * Text in gzip format, compressed once and sent to many.
 */
package org.ibismoor.gateway.api

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

class CompressedText(val bytes: ByteArray) {
    /** Throws `IOException` if the bytes are not in gzip format or hold more than [maximumBytes]. */
    fun decompress(maximumBytes: Int): String {
        val text = GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(maximumBytes + 1) }
        if (text.size > maximumBytes) throw IOException("the compressed text exceeds $maximumBytes bytes")
        return text.decodeToString()
    }
}

fun compressText(text: String): CompressedText {
    val bytes = ByteArrayOutputStream()
    GZIPOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
    return CompressedText(bytes.toByteArray())
}
