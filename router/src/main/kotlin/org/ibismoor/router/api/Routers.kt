/**
 * Entry point for running a router inside another program.
 */
package org.ibismoor.router.api

import org.ibismoor.router.internal.startRouterProcess

/** The returned router accepts connections and has started to send heartbeats to its control processes. */
fun startRouter(settings: RouterSettings): RouterProcess = startRouterProcess(settings)
