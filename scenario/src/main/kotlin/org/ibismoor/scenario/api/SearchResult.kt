/**
 * What a search over seeds came to. [failures] holds the violations of each seed that broke a guarantee.
 */
package org.ibismoor.scenario.api

data class SearchResult(val seeds: Int, val calls: Int, val answered: Int, val failures: Map<Long, List<String>>)
