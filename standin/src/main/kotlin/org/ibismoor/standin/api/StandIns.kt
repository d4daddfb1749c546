/**
 * Starts stand-ins. Each listens on the port that the returned object reports.
 */
package org.ibismoor.standin.api

import org.http4k.server.Http4kServer
import org.ibismoor.standin.internal.BookingService
import org.ibismoor.standin.internal.ModelEngine
import org.ibismoor.standin.internal.PlatformList

fun startEngine(settings: EngineSettings): EngineStandIn = ModelEngine(settings)

fun startService(settings: ServiceSettings): ServiceStandIn = BookingService(settings)

fun startPlatform(settings: PlatformSettings): Http4kServer = PlatformList(settings).server.start()
