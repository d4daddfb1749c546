/**
 * Reads a set of declaration files. The files of all services form one set: a name is declared once and may be used
 * in any file. Faults are collected over all files and reported together; invalid input causes no exception.
 */
package org.ibismoor.declarations.api

import org.ibismoor.declarations.internal.DeclaredTables
import org.ibismoor.declarations.internal.ParseResult
import org.ibismoor.declarations.internal.contentDigest
import org.ibismoor.declarations.internal.declarationChecks
import org.ibismoor.declarations.internal.limitFindings
import org.ibismoor.declarations.internal.readFile
import org.ibismoor.declarations.internal.setFindings
import org.ibismoor.declarations.internal.toConfiguration

fun readDeclarations(sources: List<DeclarationSource>): DeclarationResult {
    val sizeFindings = setFindings(sources)
    return if (sizeFindings.isEmpty()) readSet(sources.sortedBy { it.path }) else RejectedDeclarations(sizeFindings)
}

private fun readSet(sources: List<DeclarationSource>): DeclarationResult {
    val files = sources.map(::readFile)
    val declared = files.map { it.value }.fold(DeclaredTables(), DeclaredTables::plus)
    val readFindings = files.flatMap(ParseResult<DeclaredTables>::findings)
    val findings = readFindings + declarationChecks.flatMap { it.findings(declared) }
    return if (findings.isEmpty()) accept(declared) else RejectedDeclarations(limitFindings(findings))
}

private fun accept(declared: DeclaredTables): AcceptedDeclarations {
    val tables = toConfiguration(declared)
    return AcceptedDeclarations(tables, contentDigest(tables))
}
