package anvilslip.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable

/** A [PersistentMap] that can be part of a message or a snapshot. */
public typealias SerializablePersistentMap<K, V> =
    @Serializable(with = PersistentMapSerializer::class)
    PersistentMap<K, V>
