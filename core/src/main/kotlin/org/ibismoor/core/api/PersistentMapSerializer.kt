/**
 * Serializes a persistent map as an ordinary map, in any serialization format.
 */
package org.ibismoor.core.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

class PersistentMapSerializer<K, V>(keys: KSerializer<K>, values: KSerializer<V>) : KSerializer<PersistentMap<K, V>> {
    private val delegate = MapSerializer(keys, values)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentMap<K, V>) = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentMap<K, V> =
        delegate.deserialize(decoder).toPersistentHashMap()
}
