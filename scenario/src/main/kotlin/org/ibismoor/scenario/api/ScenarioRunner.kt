/**
 * Runs scenarios with the decision code of production under virtual time.
 */
package org.ibismoor.scenario.api

import org.ibismoor.scenario.internal.WorldRunner

/** Runs [scenario] to its end. The same scenario gives the same result each time. */
fun runScenario(scenario: Scenario): ScenarioResult = WorldRunner(scenario).run()
