package org.ibismoor.storage

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.ibismoor.storage.api.MemoryStore
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.StorageFaultPlan

class MemoryStoreTest : StringSpec({
    "records of a failed sync are lost, earlier ones stay, and the log accepts no more" {
        val store = MemoryStore(StorageFaultPlan(failSyncAtWrite = 2))
        val log = store.open("log").log
        log.append(listOf("one"))
        shouldThrow<StorageException> { log.append(listOf("two")) }
        shouldThrow<StorageException> { log.append(listOf("three")) }
        store.crash()
        store.open("log").records shouldBe listOf("one")
    }

    "after an interrupted append a prefix survives and the torn record is reported" {
        val store = MemoryStore(StorageFaultPlan(tearAtWrite = 1, survivingRecords = 1))
        shouldThrow<StorageException> { store.open("log").log.append(listOf("one", "two", "three")) }
        store.crash()
        val opened = store.open("log")
        opened.records shouldBe listOf("one")
        (opened.tornTail == null) shouldBe false
    }

    "a write to a full disk fails with an error that names the cause" {
        val log = MemoryStore(StorageFaultPlan(capacityBytes = 100)).open("log").log
        log.append(listOf("one"))
        shouldThrow<StorageException> { log.append(listOf("x".repeat(100))) }.message shouldContain "disk is full"
    }
})
