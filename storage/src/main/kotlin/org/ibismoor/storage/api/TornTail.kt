/**
 * The end of a log that was cut at opening, because an append was interrupted before its sync: [bytes] bytes from
 * [offset] on in [file]. No append that returned is lost by it.
 */
package org.ibismoor.storage.api

data class TornTail(val file: String, val offset: Long, val bytes: Long)
