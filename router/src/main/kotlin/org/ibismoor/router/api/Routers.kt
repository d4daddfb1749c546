/**
 * Starts routers.
 */
package org.ibismoor.router.api

import org.ibismoor.router.internal.startRouterProcess

/** A router with [settings] that listens and has begun to look for its control processes. */
fun startRouter(settings: RouterSettings): RouterProcess = startRouterProcess(settings)
