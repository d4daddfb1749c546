/**
 * Identifies a request in flight at this router, unique within a run of the process.
 */
package org.ibismoor.routing.api

@JvmInline
value class StreamId(val value: Long)
