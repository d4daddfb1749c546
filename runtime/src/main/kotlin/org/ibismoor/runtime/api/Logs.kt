/**
 * Creates logs backed by tinylog, which writes to standard error.
 */
package org.ibismoor.runtime.api

import org.tinylog.kotlin.Logger

/** Creates the log of [part], for example `control`. */
fun createLog(part: String): PartLog =
    object : PartLog {
        override fun info(sentence: String, vararg values: Pair<String, Any?>) =
            Logger.info { formatLine(part, sentence, values.asList()) }

        override fun warn(sentence: String, vararg values: Pair<String, Any?>) =
            Logger.warn { formatLine(part, sentence, values.asList()) }

        override fun error(sentence: String, cause: Throwable, vararg values: Pair<String, Any?>) =
            Logger.error(cause) { formatLine(part, sentence, values.asList()) }
    }

private fun formatLine(part: String, sentence: String, values: List<Pair<String, Any?>>): String =
    (listOf("[$part]", sentence) + values.map { (key, value) -> "$key=$value" }).joinToString(" ")
