/**
 * Limits and operations of the router process that caller connections use.
 */
package org.ibismoor.gateway.internal.router

import org.ibismoor.forwarding.api.CallerLimits
import org.ibismoor.gateway.api.HttpDialect
import org.ibismoor.runtime.api.MemoryBudget

internal interface ConnectionEnvironment {
    val limits: CallerLimits
    val dialect: HttpDialect
    val isDraining: Boolean

    /** True from the moment in a drain at which idle connections are closed. */
    val isClosingIdle: Boolean
    val cuts: CutAnswerRecorder
    val memory: MemoryBudget

    fun registerConnection(connection: CallerConnection)

    fun unregisterConnection(connection: CallerConnection)

    fun startExchange(request: ReceivedRequest, output: AnswerSink): Exchange

    /** True if the caller of an answer is to move to another router; it counts as moved then. */
    fun takeCallerMove(): Boolean

    fun countRejection(problem: RequestProblem)
}
