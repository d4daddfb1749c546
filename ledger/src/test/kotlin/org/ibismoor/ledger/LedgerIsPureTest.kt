package org.ibismoor.ledger

import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import io.kotest.core.spec.style.StringSpec

/**
 * Guards against decisions that cannot be replayed because they read a clock, a file, a socket or unseeded randomness.
 */
class LedgerIsPureTest : StringSpec({
    "no class depends on clocks, files, sockets, threads or unseeded randomness" {
        val classes = ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages("org.ibismoor.ledger")
        noClasses().should().dependOnClassesThat()
            .resideInAnyPackage("java.io..", "java.nio..", "java.net..", "java.time..", "kotlin.random..")
            .check(classes)
        noClasses().should().dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Random").check(classes)
        noClasses().should().callMethod(System::class.java, "nanoTime").check(classes)
        noClasses().should().callMethod(System::class.java, "currentTimeMillis").check(classes)
        noClasses().should().dependOnClassesThat().areAssignableTo(Thread::class.java).check(classes)
    }
})
