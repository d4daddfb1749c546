/**
 * Checks that a decision module can be replayed from its messages: its compiled classes read no clock, file, socket or
 * unseeded randomness and start no thread.
 */
package org.ibismoor.testing

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.ArchRule
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import java.util.Random

private val purityRules: List<ArchRule> = listOf(
    noClasses().should().dependOnClassesThat()
        .resideInAnyPackage("java.io..", "java.nio..", "java.net..", "java.time..", "kotlin.random.."),
    noClasses().should().dependOnClassesThat().haveFullyQualifiedName(Random::class.java.name),
    noClasses().should().callMethod(System::class.java, "nanoTime"),
    noClasses().should().callMethod(System::class.java, "currentTimeMillis"),
    noClasses().should().dependOnClassesThat().areAssignableTo(Thread::class.java),
)

/** Throws an [AssertionError] that lists the violations in the main classes of [packageName] and its subpackages. */
fun checkPurity(packageName: String) {
    checkPurity(importMainClasses(packageName))
}

internal fun checkPurity(classes: JavaClasses) {
    purityRules.forEach { it.check(classes) }
}

private fun importMainClasses(packageName: String): JavaClasses =
    ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages(packageName)
