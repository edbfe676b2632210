@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A base model loaded on a backend server, with the versions of the adapters that the server can serve now. */
@Serializable
public data class LoadedModel(
    @CborLabel(1) val name: String,
    @CborLabel(2) val adapters: Map<String, Long> = emptyMap(),
)
