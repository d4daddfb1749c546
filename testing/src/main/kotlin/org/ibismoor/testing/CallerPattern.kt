/**
 * Byte sequences of callers that nobody controls. Each stays within the limits that are published to callers, or breaks
 * the protocol in a way that a process has to survive.
 */
package org.ibismoor.testing

private const val BODY_BYTES = 4 * 1024 * 1024
private const val PART_BYTES = 64 * 1024
private const val LINES_BYTES = 15_000
private const val HEX = 16

/** What a connection sends, in parts. It then stays open, and reads answers only if [isReading]. */
class CallerPattern(val isReading: Boolean, val parts: () -> Sequence<ByteArray>)

/**
 * Patterns for requests that start with [start]: a request line and fields, each with its line end, without the blank
 * line and without a length.
 */
class CallerPatterns(private val start: String) {
    private val part = ByteArray(PART_BYTES) { 'x'.code.toByte() }

    /** Heads of very many short lines, of which the body lacks its last byte. */
    val shortLines: List<CallerPattern> = listOf(linesBeforeBody("a:b\r\n"), linesBeforeBody("a:\r\n"))

    /** Lines without a colon, folded lines, empty names and thousands of cookies. */
    val oddLines: List<CallerPattern> =
        listOf("abc\r\n", "a:\r\n b\r\n", ":a\r\n", "Cookie: a=b\r\n", " \r\n").map(::linesBeforeBody)

    /** Trailers without an end, and trailers that stop just short of the size of a head. */
    val trailers: List<CallerPattern> = listOf(
        pattern { sequenceOf(chunkedHead(), "0\r\n".bytes()) + generateSequence { lines("a:b\r\n") } },
        pattern { sequenceOf(chunkedHead(), "0\r\n".bytes(), lines("a:b\r\n")) },
    )

    val wholeBodies: List<CallerPattern> = bodies(BODY_BYTES)

    val unfinishedBodies: List<CallerPattern> = bodies(BODY_BYTES - 1)

    /** Whole requests one after the other, whose answers are not read. */
    val slowReaders: List<CallerPattern> =
        listOf(pattern(isReading = false) { generateSequence { "${start}Content-Length: 0\r\n\r\n".bytes() } })

    val all: List<CallerPattern> =
        shortLines + oddLines + trailers + wholeBodies + unfinishedBodies + slowReaders

    private fun bodies(sentBytes: Int): List<CallerPattern> {
        val isWhole = sentBytes == BODY_BYTES
        return listOf(
            pattern { sequenceOf(lengthHead(BODY_BYTES)) + split(sentBytes) },
            pattern { sequenceOf(chunkedHead()) + split(sentBytes).map(::chunk) + lastChunk(isWhole) },
        )
    }

    private fun linesBeforeBody(line: String) =
        pattern { sequenceOf(start.bytes(), lines(line), "Content-Length: 2\r\n\r\nx".bytes()) }

    private fun lines(line: String): ByteArray = line.repeat(LINES_BYTES / line.length).bytes()

    private fun split(bytes: Int): Sequence<ByteArray> =
        generateSequence(bytes) { it - PART_BYTES }.takeWhile { it > 0 }
            .map { if (it < PART_BYTES) part.copyOf(it) else part }

    private fun chunk(bytes: ByteArray): ByteArray = "${bytes.size.toString(HEX)}\r\n".bytes() + bytes + "\r\n".bytes()

    private fun lastChunk(isWhole: Boolean): List<ByteArray> = listOfNotNull("0\r\n\r\n".bytes().takeIf { isWhole })

    private fun lengthHead(bytes: Int): ByteArray = "${start}Content-Length: $bytes\r\n\r\n".bytes()

    private fun chunkedHead(): ByteArray = "${start}Transfer-Encoding: chunked\r\n\r\n".bytes()

    private fun pattern(isReading: Boolean = true, parts: () -> Sequence<ByteArray>) = CallerPattern(isReading, parts)
}

private fun String.bytes(): ByteArray = toByteArray(Charsets.ISO_8859_1)
