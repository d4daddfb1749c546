/**
 * Serializes a persistent list as an ordinary list, in any serialization format.
 */
package org.ibismoor.core.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

class PersistentListSerializer<T>(items: KSerializer<T>) : KSerializer<PersistentList<T>> {
    private val delegate = ListSerializer(items)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentList<T>) = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentList<T> = delegate.deserialize(decoder).toPersistentList()
}
