/**
 * A running service stand-in. [bookings] counts executed bookings by `organisation/request key`.
 */
package org.ibismoor.standin.api

interface ServiceStandIn : AutoCloseable {
    val port: Int
    val bookings: Map<String, Int>
}
