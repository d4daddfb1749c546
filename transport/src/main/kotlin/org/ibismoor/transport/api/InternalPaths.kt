/**
 * URL paths of the HTTP interface between processes.
 */
package org.ibismoor.transport.api

object InternalPaths {
    const val PREFIX: String = "/internal/v1"
    const val LEDGER: String = "$PREFIX/ledger"
    const val HEARTBEAT: String = "$PREFIX/heartbeat"
    const val CONSENSUS: String = "$PREFIX/consensus"
    const val PROPOSE: String = "$PREFIX/propose"
    const val SUMMARY: String = "$PREFIX/summary"
    const val PUBLICATIONS: String = "$PREFIX/publications"
    const val STATUS: String = "$PREFIX/status"
}
