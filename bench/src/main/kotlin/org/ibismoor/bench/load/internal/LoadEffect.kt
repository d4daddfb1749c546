/**
 * Effects of the state machine of a load run.
 */
package org.ibismoor.bench.load.internal

internal sealed interface LoadEffect {
    data class StartRequest(val number: Long, val path: LoadPath, val isMeasured: Boolean) : LoadEffect

    /** Reads the watched processes at the start of the measurement (MEASURED) and at its end (ENDING). */
    data class ReadProcesses(val phase: LoadPhase) : LoadEffect

    data object EndRun : LoadEffect
}
