/**
 * Result of an order to an upstream.
 */
package org.ibismoor.orders.api

enum class OrderAnswer {
    /** The upstream carries out the order. */
    ACCEPTED,

    /** The upstream has seen a higher fencing number. */
    STALE_NUMBER,

    /** The upstream refused for another reason or could not be reached. */
    FAILED,
}
