/**
 * Shortens a failing schedule by delta debugging: leaves out ever smaller runs of its items as long as the rest still
 * fails. Each check of a schedule may be a whole run of a soak, so their number is limited.
 */
package org.ibismoor.soak.api

/**
 * A part of [items], in the same order, for which [fails] holds. No single item of it can be left out, unless the
 * result depends on chance or [maximumChecks] were used up. [items] have to fail themselves.
 */
fun <T> shortenSchedule(items: List<T>, maximumChecks: Int = Int.MAX_VALUE, fails: (List<T>) -> Boolean): List<T> {
    var shortest = items
    var checksLeft = maximumChecks
    var size = items.size
    while (size > 0 && checksLeft > 0) {
        val candidate = shortest.withoutEachRun(size).take(checksLeft).onEach { checksLeft-- }.find(fails)
        shortest = candidate ?: shortest
        size = if (candidate == null) size / 2 else minOf(size, shortest.size)
    }
    return shortest
}

/** This list without one run of [size] items, for each of the runs that follow each other. */
private fun <T> List<T>.withoutEachRun(size: Int): Sequence<List<T>> =
    indices.asSequence().filter { it % size == 0 }.map { start -> take(start) + drop(start + size) }
