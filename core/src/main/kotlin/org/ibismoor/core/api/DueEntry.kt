/**
 * An identifier and the time at which it was due.
 */
package org.ibismoor.core.api

data class DueEntry<out K>(val time: Timestamp, val id: K)
