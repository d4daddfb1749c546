package org.ibismoor.control

import org.ibismoor.control.api.ControlProcess
import org.ibismoor.control.api.ControlProcessSettings
import org.ibismoor.control.api.Started
import org.ibismoor.control.api.initialiseMember
import org.ibismoor.control.api.startControl
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.declarations.api.DeclarationSource
import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAccepted
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.fleet.api.ControlSettings
import org.ibismoor.transport.api.CallResult
import org.ibismoor.transport.api.ClientSettings
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.createInternalClient
import java.nio.file.Path

private const val CALL_MILLIS = 12_000L

/** A group of one member in this JVM. Its configuration changes with each publication but does not grow. */
internal class SingleMember(private val folder: Path, private val control: ControlSettings) {
    private val replica = ReplicaId(FailureDomainId("norte-1"), 1)

    fun initialise() = check(initialiseMember(folder, replica, listOf(replica)) == null)

    fun start(): ControlProcess {
        val settings = ControlProcessSettings(replica, folder, "127.0.0.1", 0, emptyMap(), seed = 1, control = control)
        return (startControl(settings) as Started).process
    }

    fun publish(process: ControlProcess, numbers: IntRange) {
        awaitTrue("leadership") { process.tables.isLeading }
        createInternalClient(
            ClientSettings(readTimeoutMillis = CALL_MILLIS, callTimeoutMillis = CALL_MILLIS),
        ).use { client ->
            val url = "http://127.0.0.1:${process.port}${InternalPaths.PUBLICATIONS}"
            numbers.forEach { number ->
                val text = declared(1).replace("- name: travel\n", "- name: travel\n    weight: ${1 + number % 9}\n")
                val publication = Publication(number.toLong(), listOf(DeclarationSource("fleet.yaml", text)))
                val answers = PublicationAnswer.serializer()
                val answer = client.postJson(url, publication, Publication.serializer(), answers).get()
                check((answer as? CallResult.Answered)?.answer is PublicationAccepted) { "$number: $answer" }
            }
        }
    }
}
