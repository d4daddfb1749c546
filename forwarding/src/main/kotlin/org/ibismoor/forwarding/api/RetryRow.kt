/**
 * Requests and retries of an upstream group within the retry window, by second.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

data class RetryRow(val seconds: PersistentMap<Long, RetryCount> = persistentHashMapOf())

data class RetryCount(val requests: Int = 0, val retries: Int = 0)
