/**
 * An entry of a [DueQueue]: an identifier and its due time.
 */
package org.ibismoor.core.api

data class DueEntry<out K>(val time: Timestamp, val id: K)
