/**
 * Runs scenarios in virtual time with the decision code that the real processes use.
 */
package org.ibismoor.scenario.api

import org.ibismoor.scenario.internal.WorldRunner

/** Runs [scenario] to its end. The same scenario always gives the same result. */
fun runScenario(scenario: Scenario): ScenarioResult = WorldRunner(scenario).run()
