/**
 * Type aliases and helpers that the systems of this module share.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.TickSystem
import org.ibismoor.forwarding.api.Decision
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Fact
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LogDecision

internal typealias ForwardingStep = Step<ForwardingTables, ForwardingEffect>

internal typealias ForwardingSystem = TickSystem<ForwardingTables, ForwardingMessage, ForwardingEffect>

internal fun logDecision(kind: DecisionKind, callId: String?, vararg facts: Pair<String, Any?>): LogDecision =
    LogDecision(Decision(kind, callId, facts.map { (name, value) -> Fact(name, value) }))
