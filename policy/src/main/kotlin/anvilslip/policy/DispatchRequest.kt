@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** One request that asks for a server. */
@Serializable
public data class DispatchRequest(
    /** Entry instance that took the request in. */
    @CborLabel(1) val entry: String,
    /** Number of the request at [entry]. */
    @CborLabel(2) val number: Long,
    @CborLabel(3) val service: String,
    /** Null on routes that are open to all. */
    @CborLabel(4) val workspace: String?,
    /** Tokens that the request counts against its workspace; 0 when it was counted before. */
    @CborLabel(5) val charge: Long,
    @CborLabel(6) val zone: String,
    /** Milliseconds within which the answer should begin. */
    @CborLabel(7) val targetMillis: Long,
    /** Milliseconds after which nobody waits for the answer. */
    @CborLabel(8) @SerialName("leftMillis") val remainingMillis: Long,
    @CborLabel(9) val model: String? = null,
    @CborLabel(10) val adapter: String? = null,
    /** Prompt tokens to read. */
    @CborLabel(11) val promptTokens: Int = 0,
    /** Servers that failed or refused it. */
    @CborLabel(12) val exclude: Set<String> = emptySet(),
)
