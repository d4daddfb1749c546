/**
 * Creates the machine that decides about the memory of connections.
 */
package org.ibismoor.memory.api

import org.ibismoor.core.api.TickSystem
import org.ibismoor.memory.internal.ChargeSystem

fun createMemoryMachine(): TickSystem<MemoryTables, MemoryMessage, MemoryEffect> = ChargeSystem()
