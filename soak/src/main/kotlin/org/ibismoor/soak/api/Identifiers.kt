/**
 * Identifiers of a soak.
 */
package org.ibismoor.soak.api

/** Identifies one request of a caller on the wire, in logs and in observations. */
@JvmInline
value class SoakRequestId(val text: String)

/** Identifies one arrival of a request at an upstream. */
@JvmInline
value class SoakAttemptId(val text: String)

/** Identifies an answer that an upstream made, on the wire too. */
@JvmInline
value class AnswerId(val text: String)

/** Name of a process of the fleet, the same over restarts. */
@JvmInline
value class ProcessName(val text: String)
