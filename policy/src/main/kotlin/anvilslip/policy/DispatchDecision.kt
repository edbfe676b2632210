@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Decision on a [DispatchRequest]. */
@Serializable
public sealed interface DispatchDecision {
    /** Send the request to [server] after a delay of [holdMillis]. */
    @Serializable
    @SerialName("send")
    public data class Send(
        @CborLabel(1) val server: String,
        @CborLabel(2) val address: String,
        @CborLabel(3) val holdMillis: Long = 0,
        /** Required version of the adapter, or null if no current version is set. */
        @CborLabel(4) val version: Long? = null,
        /** Sequence number of this decision if the leader knows that the server is limited, see [LimitGrant]. */
        @CborLabel(5) val limitSequence: Long? = null,
        /** Version of the server's software; null if it states none. */
        @CborLabel(6) val softwareVersion: String? = null,
    ) : DispatchDecision

    /** The request waits in the leader's queue. It keeps its place for a moment in which the entry instance has to ask again. */
    @Serializable
    @SerialName("wait")
    public data object Wait : DispatchDecision

    /** Refuse the request. A retry after [retryMillis] may succeed. */
    @Serializable
    @SerialName("refuse")
    public data class Refuse(
        @CborLabel(1) val reason: DispatchRefusal,
        @CborLabel(2) val retryMillis: Long,
        /** Number of servers that were considered. */
        @CborLabel(3) val servers: Int = 0,
        /** Expected wait for the best server or for tokens of the workspace; null if it is not known. */
        @CborLabel(4) val waitMillis: Long? = null,
    ) : DispatchDecision {
        public companion object {
            /** Middle of the retry delays; an evacuation usually takes longer, but how much longer is not known. */
            private const val EVACUATED_RETRY_MILLIS = 1000L

            /** Refuses a request because all [servers] of its service are in availability zones under evacuation. */
            public fun evacuated(servers: Int): Refuse = Refuse(DispatchRefusal.EVACUATED, EVACUATED_RETRY_MILLIS, servers)
        }
    }
}
