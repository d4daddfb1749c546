/**
 * Makes logs over tinylog, which writes to standard error.
 */
package org.ibismoor.runtime.api

import org.tinylog.kotlin.Logger

/** The log of [part], such as `control`. */
fun createLog(part: String): PartLog =
    object : PartLog {
        override fun info(sentence: String, vararg values: Pair<String, Any?>) =
            Logger.info { line(part, sentence, values.asList()) }

        override fun warn(sentence: String, vararg values: Pair<String, Any?>) =
            Logger.warn { line(part, sentence, values.asList()) }

        override fun error(sentence: String, cause: Throwable, vararg values: Pair<String, Any?>) =
            Logger.error(cause) { line(part, sentence, values.asList()) }
    }

private fun line(part: String, sentence: String, values: List<Pair<String, Any?>>): String =
    (listOf("[$part]", sentence) + values.map { (key, value) -> "$key=$value" }).joinToString(" ")
