@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A base model that a backend server holds, with the adapters it can serve now and their versions. */
@Serializable
public data class LoadedModel(
    @CborLabel(1) val name: String,
    @CborLabel(2) val adapters: Map<String, Long> = emptyMap(),
)
