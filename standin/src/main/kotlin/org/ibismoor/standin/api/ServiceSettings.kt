/**
 * Settings of a service stand-in. With [losesAnswers] a booking is made but its answer never arrives.
 */
package org.ibismoor.standin.api

data class ServiceSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val delayMillis: Long = 0,
    val losesAnswers: Boolean = false,
)
