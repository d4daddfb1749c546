/**
 * Settings of a service stand-in. With [losesAnswers] a booking is executed but the connection breaks before the
 * body of its answer.
 */
package org.ibismoor.standin.api

data class ServiceSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val delayMillis: Long = 0,
    val losesAnswers: Boolean = false,
)
