@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A request that runs on [server], as reported to a new leader, or to the leader that did not decide on it. */
@Serializable
public data class RunningRequest(
    @CborLabel(1) val number: Long,
    @CborLabel(2) val server: String,
    @CborLabel(3) val model: String?,
    @CborLabel(4) val adapter: String?,
    /** Prompt tokens that the server may still have to process. */
    @CborLabel(5) val promptTokens: Int,
    /** Time in milliseconds until the deadline of the request. */
    @CborLabel(6) @SerialName("leftMillis") val remainingMillis: Long,
    /** 0 is the most urgent. */
    @CborLabel(7) val priority: Int = 0,
    /** Workspace to whose limit the leader has yet to charge [charge]; null if there is nothing to charge. */
    @CborLabel(8) val workspace: String? = null,
    /** Tokens that the entry instance has spent on the request without the leader. */
    @CborLabel(9) val charge: Long = 0,
)
