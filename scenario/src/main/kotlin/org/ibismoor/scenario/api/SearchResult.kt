/**
 * The result of a search over seeds. [failures] holds the violations of each seed that broke a guarantee.
 */
package org.ibismoor.scenario.api

data class SearchResult(
    val seedCount: Int,
    val callCount: Int,
    val answeredCount: Int,
    val failures: Map<Long, List<String>>,
)
