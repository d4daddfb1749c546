/**
 * Events of a router that are counted for operators.
 */
package org.ibismoor.routing.api

enum class RoutingEvent { REFUSAL, RETRY, EJECTION, CANCELLATION }
