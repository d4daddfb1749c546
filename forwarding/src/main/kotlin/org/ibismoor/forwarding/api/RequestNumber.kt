/**
 * Number of a request, unique within one router process.
 */
package org.ibismoor.forwarding.api

@JvmInline
value class RequestNumber(val value: Long) : Comparable<RequestNumber> {
    override fun compareTo(other: RequestNumber): Int = value.compareTo(other.value)
}
