/**
 * Result of a tick: the new tables and the effects to perform, in order.
 */
package org.ibismoor.core.api

data class Step<out S, out E>(val tables: S, val effects: List<E> = emptyList())
