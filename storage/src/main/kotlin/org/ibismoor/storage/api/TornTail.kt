/**
 * The part of a log that was truncated at opening because an append was interrupted before its sync: [bytes] bytes
 * starting at [offset] of [file]. It contains no record of an append that returned.
 */
package org.ibismoor.storage.api

data class TornTail(val file: String, val offset: Long, val bytes: Long)
