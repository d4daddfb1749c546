/**
 * IP address and port on which a server listens.
 */
package org.ibismoor.runtime.api

data class ListenAddress(val host: String, val port: Int)
