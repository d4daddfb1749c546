/**
 * Starts router and control processes.
 */
package org.ibismoor.gateway.api

import org.ibismoor.gateway.internal.control.RunningCoordinator
import org.ibismoor.gateway.internal.router.RunningRouter

/** Starts a router. Throws `IOException` if an address cannot be used. */
fun startRouter(settings: RouterSettings, formats: PlatformFormats): RouterProcess =
    RunningRouter(settings, formats).also { it.start() }

/**
 * Starts a control process. Throws `StorageException` if the data folder cannot be used, and `IOException` if an
 * address cannot be used.
 */
fun startCoordinator(settings: CoordinatorSettings, formats: PlatformFormats): CoordinatorProcess =
    RunningCoordinator(settings, formats).also { it.start() }
