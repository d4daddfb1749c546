/**
 * Log of one part of a program. A line has the part as prefix, a short sentence, and key values. Budgets, keys and
 * prompt text are never logged.
 */
package org.ibismoor.runtime.api

interface PartLog {
    fun info(sentence: String, vararg values: Pair<String, Any?>)

    fun warn(sentence: String, vararg values: Pair<String, Any?>)

    fun error(sentence: String, cause: Throwable, vararg values: Pair<String, Any?>)
}
