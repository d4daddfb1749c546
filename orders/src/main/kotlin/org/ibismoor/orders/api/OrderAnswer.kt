/**
 * How an upstream answered an order.
 */
package org.ibismoor.orders.api

enum class OrderAnswer {
    /** The upstream does what it was told. */
    ACCEPTED,

    /** The upstream has seen a higher fencing number. */
    OLD_NUMBER,

    /** The upstream refuses for another reason, or cannot be reached. */
    FAILED,
}
