/**
 * Type aliases for the systems of the coordination machine.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.TickSystem

internal typealias CoordinationStep = Step<CoordinationTables, CoordinationEffect>

internal typealias CoordinationSystem = TickSystem<CoordinationTables, CoordinationMessage, CoordinationEffect>
