/**
 * The slots of an engine. Requests that find all slots taken wait in the order of their arrival and can leave the queue
 * before they get one.
 */
package org.ibismoor.standin.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.CompletableFuture

internal class SlotQueue(private val slots: Int) {
    private var queue: PersistentList<CompletableFuture<Boolean>> = persistentListOf()
    private var taken = 0

    /** Requests with a slot. */
    @get:Synchronized
    val running: Int get() = taken

    @get:Synchronized
    val waiting: Int get() = queue.size

    /** The returned place completes with true once it has a slot, or with false if it left the queue before. */
    @Synchronized
    fun enter(): CompletableFuture<Boolean> {
        val place = CompletableFuture<Boolean>()
        queue = queue.add(place)
        grantFreeSlot()
        return place
    }

    /** Does nothing if [place] already has a slot. */
    @Synchronized
    fun leave(place: CompletableFuture<Boolean>) {
        queue = queue.remove(place)
        place.complete(false)
    }

    /** Returns a slot, which the first waiting request gets. */
    @Synchronized
    fun release() {
        taken--
        grantFreeSlot()
    }

    private fun grantFreeSlot() {
        val first = queue.firstOrNull()
        if (first != null && taken < slots) {
            queue = queue.removeAt(0)
            taken++
            first.complete(true)
        }
    }
}
