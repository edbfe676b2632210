package anvilslip.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable

/** A [PersistentMap] that can be used as a property of a serializable class. */
public typealias SerializablePersistentMap<K, V> =
    @Serializable(with = PersistentMapSerializer::class)
    PersistentMap<K, V>
