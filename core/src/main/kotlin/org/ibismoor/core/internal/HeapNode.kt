/**
 * Node of a persistent leftist heap: every right spine has logarithmic length, so that a merge copies O(log n)
 * nodes.
 */
package org.ibismoor.core.internal

import org.ibismoor.core.api.Timestamp

internal class HeapNode<K>(
    val time: Timestamp,
    val id: K,
    val left: HeapNode<K>? = null,
    val right: HeapNode<K>? = null,
) {
    val rank: Int = 1 + (right?.rank ?: 0)
}

internal fun <K> merge(a: HeapNode<K>?, b: HeapNode<K>?): HeapNode<K>? =
    when {
        a == null -> b
        b == null -> a
        a.time <= b.time -> withChildren(a, a.left, merge(a.right, b))
        else -> withChildren(b, b.left, merge(b.right, a))
    }

private fun <K> withChildren(node: HeapNode<K>, a: HeapNode<K>?, b: HeapNode<K>?): HeapNode<K> {
    val isOrdered = (a?.rank ?: 0) >= (b?.rank ?: 0)
    return HeapNode(node.time, node.id, if (isOrdered) a else b, if (isOrdered) b else a)
}
