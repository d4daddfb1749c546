/**
 * JSON codec of fleet commands and snapshots for scenarios.
 */
package org.ibismoor.scenario.internal

import kotlinx.serialization.json.Json
import org.ibismoor.fleet.api.FleetCodec
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.FleetTables

internal class JsonCodec : FleetCodec {
    private val json = Json { allowStructuredMapKeys = true }

    override fun writeCommand(command: FleetCommand): String =
        json.encodeToString(FleetCommand.serializer(), command)

    override fun readCommand(text: String): FleetCommand = json.decodeFromString(FleetCommand.serializer(), text)

    override fun writeTables(tables: FleetTables): String = json.encodeToString(FleetTables.serializer(), tables)

    override fun readTables(text: String): FleetTables = json.decodeFromString(FleetTables.serializer(), text)
}
