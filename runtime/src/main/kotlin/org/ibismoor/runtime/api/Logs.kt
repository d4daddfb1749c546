/**
 * Makes logs over tinylog, which writes to standard error.
 */
package org.ibismoor.runtime.api

import org.tinylog.kotlin.Logger

/** The log of [part], such as `control`. */
fun createLog(part: String): PartLog {
    val logger = Logger.tag(part)
    return object : PartLog {
        override fun info(sentence: String, vararg values: Pair<String, Any?>) =
            logger.info { line(sentence, values.asList()) }

        override fun warn(sentence: String, vararg values: Pair<String, Any?>) =
            logger.warn { line(sentence, values.asList()) }

        override fun error(sentence: String, cause: Throwable, vararg values: Pair<String, Any?>) =
            logger.error(cause) { line(sentence, values.asList()) }
    }
}

private fun line(sentence: String, values: List<Pair<String, Any?>>): String =
    (listOf(sentence) + values.map { (key, value) -> "$key=$value" }).joinToString(" ")
