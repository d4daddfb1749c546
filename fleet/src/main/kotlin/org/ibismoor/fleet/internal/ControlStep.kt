/**
 * Result of running a system of the control replica.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.core.api.Step
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlTables

internal typealias ControlStep = Step<ControlTables, ControlEffect>
