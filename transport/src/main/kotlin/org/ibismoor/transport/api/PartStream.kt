/**
 * A response body that is produced in parts. A read never waits for more than one part, so that the server can forward
 * each part immediately.
 */
package org.ibismoor.transport.api

import java.io.InputStream

private const val END = -1
private const val BYTE_MASK = 0xff

abstract class PartStream : InputStream() {
    private var part: ByteArray = ByteArray(0)
    private var position = 0

    /** Waits for the next part, which must not be empty; null ends the body. */
    protected abstract fun nextPart(): ByteArray?

    override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) == END) END else single[0].toInt() and BYTE_MASK
    }

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        if (position == part.size) {
            part = nextPart() ?: return END
            position = 0
        }
        val count = minOf(length, part.size - position)
        part.copyInto(buffer, offset, position, position + count)
        position += count
        return count
    }
}
