/**
 * JSON settings for messages between router and control processes and for records on disk.
 */
package org.ibismoor.gateway.internal

import kotlinx.serialization.json.Json

internal val InternalJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}
