/**
 * Result of opening a log: the log, the records that it already holds, and the torn tail that was truncated, if any.
 */
package org.ibismoor.storage.api

data class OpenedLog(val log: RecordLog, val records: List<String>, val tornTail: TornTail? = null)
