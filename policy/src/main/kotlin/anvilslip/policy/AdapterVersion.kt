@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A version of an adapter, as loaded into one slot of a model engine. */
@Serializable
public data class AdapterVersion(
    @CborLabel(1) val adapter: String,
    @CborLabel(2) val version: String,
) : Comparable<AdapterVersion> {
    override fun compareTo(other: AdapterVersion): Int = compareValuesBy(this, other, AdapterVersion::adapter, AdapterVersion::version)

    override fun toString(): String = "$adapter@$version"
}
