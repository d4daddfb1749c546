/**
 * What the machine of a run asks for.
 */
package org.ibismoor.bench.load.internal

internal sealed interface LoadEffect {
    data class StartRequest(val number: Long, val path: LoadPath, val isMeasured: Boolean) : LoadEffect

    /** The watched processes are read at each of these, the first one begins and the second one ends the measure. */
    data class ReadProcesses(val phase: LoadPhase) : LoadEffect

    data object EndRun : LoadEffect
}
