/**
 * A log of records of one type, stored as JSON. [records] were in the log when it was opened; [tornTail] is the
 * incomplete record that was truncated from its end.
 */
package org.ibismoor.control.internal

import kotlinx.serialization.KSerializer
import org.ibismoor.storage.api.RecordLog
import org.ibismoor.storage.api.TornTail

internal class TypedLog<R>(
    val log: RecordLog,
    val serializer: KSerializer<R>,
    val records: List<R>,
    val tornTail: TornTail?,
) {
    fun append(added: List<R>) = log.append(encode(added))

    fun replace(replacement: List<R>) = log.replace(encode(replacement))
}
