/**
 * JSON format of the commands and snapshots in the replicated log.
 */
package org.ibismoor.control.internal

import org.ibismoor.fleet.api.FleetCodec
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.transport.api.fleetJson

internal object JsonFleetCodec : FleetCodec {
    override fun writeCommand(command: FleetCommand): String =
        fleetJson.encodeToString(FleetCommand.serializer(), command)

    override fun readCommand(text: String): FleetCommand =
        fleetJson.decodeFromString(FleetCommand.serializer(), text)

    override fun writeTables(tables: FleetTables): String =
        fleetJson.encodeToString(FleetTables.serializer(), tables)

    override fun readTables(text: String): FleetTables =
        fleetJson.decodeFromString(FleetTables.serializer(), text)
}
