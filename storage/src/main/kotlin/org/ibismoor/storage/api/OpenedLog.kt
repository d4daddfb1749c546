/**
 * A log after opening: where to append and what it already holds. [tornTail] reports what was cut from its end.
 */
package org.ibismoor.storage.api

data class OpenedLog(val log: RecordLog, val records: List<String>, val tornTail: TornTail? = null)
