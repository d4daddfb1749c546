/**
 * A record log of one type of record, in JSON. [records] are those that it held when it was opened; [tornTail] is
 * what was cut from its end.
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
    fun append(next: List<R>) = log.append(encode(next))

    fun replace(next: List<R>) = log.replace(encode(next))
}
