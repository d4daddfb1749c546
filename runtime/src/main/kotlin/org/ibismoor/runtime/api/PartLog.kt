/**
 * Log of one part of a program. A line consists of the part as prefix, a short sentence, and key-value pairs. Budgets,
 * keys and prompt text must never be logged.
 */
package org.ibismoor.runtime.api

interface PartLog {
    fun info(sentence: String, vararg values: Pair<String, Any?>)

    fun warn(sentence: String, vararg values: Pair<String, Any?>)

    fun error(sentence: String, cause: Throwable, vararg values: Pair<String, Any?>)
}
