/**
 * Limits and timeouts of orders to upstreams.
 */
package org.ibismoor.orders.api

private const val DEFAULT_LEASE_MILLIS = 10_000L
private const val DEFAULT_RENEW_AFTER_MILLIS = 3_000L
private const val DEFAULT_ORDER_TIMEOUT_MILLIS = 2_000L
private const val DEFAULT_CLOCK_DRIFT_PER_MILLE = 10L
private const val DEFAULT_MAXIMUM_CONCURRENT_LOADS = 2
private const val DEFAULT_LOAD_INTERVAL_MILLIS = 5_000L
private const val DEFAULT_RETRY_DELAY_MILLIS = 10_000L

data class OrderSettings(
    val leaseMillis: Long = DEFAULT_LEASE_MILLIS,
    /** Age at which the holder renews its lease. */
    val renewAfterMillis: Long = DEFAULT_RENEW_AFTER_MILLIS,
    /** Time within which an order is answered or abandoned. */
    val orderTimeoutMillis: Long = DEFAULT_ORDER_TIMEOUT_MILLIS,
    /** Maximum deviation of a clock from the true rate. */
    val clockDriftPerMille: Long = DEFAULT_CLOCK_DRIFT_PER_MILLE,
    /** Number of concurrent loads that the weight store allows. */
    val maximumConcurrentLoads: Int = DEFAULT_MAXIMUM_CONCURRENT_LOADS,
    /** Minimum interval between load starts at the weight store. */
    val loadIntervalMillis: Long = DEFAULT_LOAD_INTERVAL_MILLIS,
    val retryDelayMillis: Long = DEFAULT_RETRY_DELAY_MILLIS,
)
