/**
 * Step type of the order systems.
 */
package org.ibismoor.orders.internal

import org.ibismoor.core.api.Step
import org.ibismoor.orders.api.OrderEffect
import org.ibismoor.orders.api.OrderTables

internal typealias OrderStep = Step<OrderTables, OrderEffect>
