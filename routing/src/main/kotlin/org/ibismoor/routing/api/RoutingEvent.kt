/**
 * Events that a router counts in its metrics. The lower-case names are label values.
 */
package org.ibismoor.routing.api

enum class RoutingEvent { REFUSAL, RETRY, EJECTION, CANCELLATION, CUT }
