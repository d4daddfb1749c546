/**
 * The two request paths to the same engines that a run compares.
 */
package org.ibismoor.bench.load.internal

internal enum class LoadPath(val text: String) {
    ROUTED("routed"),
    DIRECT("direct"),
}
