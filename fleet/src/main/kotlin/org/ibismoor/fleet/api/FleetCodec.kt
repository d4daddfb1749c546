/**
 * Converts commands and tables to the opaque text that the replicated log carries, and back. The implementation defines
 * the format. Reading text that the same version wrote succeeds; other text throws `IllegalArgumentException`.
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
