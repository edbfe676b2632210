@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What the leader decided on a [DispatchRequest]. */
@Serializable
public sealed interface DispatchDecision {
    /** Send it to [server], not before [holdMillis] have passed. */
    @Serializable
    @SerialName("send")
    public data class Send(
        @CborLabel(1) val server: String,
        @CborLabel(2) val address: String,
        @CborLabel(3) val holdMillis: Long = 0,
        /** Version of the adapter that must run, where one was named. */
        @CborLabel(4) val version: Long? = null,
    ) : DispatchDecision

    /** Do not run it; [retryMillis] from now it may fare better. */
    @Serializable
    @SerialName("refuse")
    public data class Refuse(
        @CborLabel(1) val reason: DispatchRefusal,
        @CborLabel(2) val retryMillis: Long,
        /** Servers that were considered. */
        @CborLabel(3) val servers: Int = 0,
        /** Expected wait on the best of them, or for tokens of the workspace; null when none was found. */
        @CborLabel(4) val waitMillis: Long? = null,
    ) : DispatchDecision
}
