/**
 * Turns commands and tables into the opaque text that the replicated log carries, and back. The format belongs to the
 * implementation. Reading text that the same version wrote succeeds; other text throws `IllegalArgumentException`.
 */
package org.ibismoor.fleet.api

import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.FleetTables

interface FleetCodec {
    fun writeCommand(command: FleetCommand): String

    fun readCommand(text: String): FleetCommand

    fun writeTables(tables: FleetTables): String

    fun readTables(text: String): FleetTables
}
