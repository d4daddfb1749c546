/**
 * A parsed value and the findings from parsing it. Invalid input has a substitute value, so that parsing continues and
 * one fault neither hides nor causes others. The value may only be used if there are no findings.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal data class ParseResult<out T>(val value: T, val findings: List<Finding> = emptyList()) {
    fun <R> map(change: (T) -> R): ParseResult<R> = ParseResult(change(value), findings)
}

internal fun <T> List<ParseResult<T>>.combined(): ParseResult<List<T>> =
    ParseResult(map { it.value }, flatMap { it.findings })
