/**
 * What a connection holds memory for.
 */
package org.ibismoor.memory.api

/** [text] is the label of metrics. */
enum class MemoryClass(val text: String) {
    HEADS("heads"),
    BODIES("bodies"),
    ANSWERS("answers"),
}
