@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Identity of a replica.
 *
 * @property instance name of the instance that the replica runs on
 * @property storage random identity of its data folder; a replica that lost its disk gets a new one. Empty in the address of a
 *   message if it is not known.
 */
@Serializable
public data class ReplicaId(
    @CborLabel(1) val instance: String,
    @CborLabel(2) val storage: String,
) : Comparable<ReplicaId> {
    override fun compareTo(other: ReplicaId): Int = compareValuesBy(this, other, ReplicaId::instance, ReplicaId::storage)

    override fun toString(): String = "$instance/${storage.take(SHORT)}"

    private companion object {
        const val SHORT = 6
    }
}
