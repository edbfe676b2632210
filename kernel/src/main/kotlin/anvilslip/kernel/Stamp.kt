@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.kernel

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Timestamp of a hybrid logical clock: wall-clock milliseconds since the epoch, and a counter that orders events within a
 * millisecond, so that a cause is ordered before its effects.
 */
@Serializable
public data class Stamp(
    @CborLabel(1) val millis: Long,
    @CborLabel(2) val counter: Int,
) : Comparable<Stamp> {
    override fun compareTo(other: Stamp): Int = compareValuesBy(this, other, Stamp::millis, Stamp::counter)
}
