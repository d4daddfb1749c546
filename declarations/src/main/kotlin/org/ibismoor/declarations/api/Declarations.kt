/**
 * Reads a set of declaration files. The files of all services make one set: a name is declared once and may be used
 * in any file. Faults are collected over all files and reported together; the reader throws nothing for bad input.
 */
package org.ibismoor.declarations.api

import org.ibismoor.declarations.internal.DeclaredTables
import org.ibismoor.declarations.internal.Readout
import org.ibismoor.declarations.internal.contentDigest
import org.ibismoor.declarations.internal.declarationChecks
import org.ibismoor.declarations.internal.readFile
import org.ibismoor.declarations.internal.setFindings
import org.ibismoor.declarations.internal.shorten
import org.ibismoor.declarations.internal.toConfiguration

/** The configuration that [sources] declare, or every finding. */
fun readDeclarations(sources: List<DeclarationSource>): DeclarationResult {
    val limits = setFindings(sources)
    return if (limits.isEmpty()) readSet(sources.sortedBy { it.path }) else RejectedDeclarations(limits)
}

private fun readSet(sources: List<DeclarationSource>): DeclarationResult {
    val files = sources.map(::readFile)
    val declared = files.map { it.value }.fold(DeclaredTables(), DeclaredTables::plus)
    val readFindings = files.flatMap(Readout<DeclaredTables>::findings)
    val findings = readFindings + declarationChecks.flatMap { it.findings(declared) }
    return if (findings.isEmpty()) accept(declared) else RejectedDeclarations(shorten(findings))
}

private fun accept(declared: DeclaredTables): AcceptedDeclarations {
    val tables = toConfiguration(declared)
    return AcceptedDeclarations(tables, contentDigest(tables))
}
