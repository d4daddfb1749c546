/**
 * Limits of orders. A lease lasts [leaseMillis] and is renewed after [renewMillis]; an order is answered or given up
 * within [orderMillis]. [driftPerMille] bounds by how much two clocks differ in rate. The weight store allows
 * [concurrentLoads] loads at a time and one start each [loadIntervalMillis].
 */
package org.ibismoor.orders.api

private const val DEFAULT_LEASE_MILLIS = 10_000L
private const val DEFAULT_RENEW_MILLIS = 3_000L
private const val DEFAULT_ORDER_MILLIS = 2_000L
private const val DEFAULT_DRIFT_PER_MILLE = 10L
private const val DEFAULT_CONCURRENT_LOADS = 2
private const val DEFAULT_LOAD_INTERVAL_MILLIS = 5_000L
private const val DEFAULT_RETRY_MILLIS = 10_000L

data class OrderSettings(
    val leaseMillis: Long = DEFAULT_LEASE_MILLIS,
    val renewMillis: Long = DEFAULT_RENEW_MILLIS,
    val orderMillis: Long = DEFAULT_ORDER_MILLIS,
    val driftPerMille: Long = DEFAULT_DRIFT_PER_MILLE,
    val concurrentLoads: Int = DEFAULT_CONCURRENT_LOADS,
    val loadIntervalMillis: Long = DEFAULT_LOAD_INTERVAL_MILLIS,
    val retryMillis: Long = DEFAULT_RETRY_MILLIS,
)
