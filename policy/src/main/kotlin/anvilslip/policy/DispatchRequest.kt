@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A client request for which an entry instance needs a server. */
@Serializable
public data class DispatchRequest(
    /** Entry instance that received the request. */
    @CborLabel(1) val entry: String,
    /** Number of the request, unique at [entry]. */
    @CborLabel(2) val number: Long,
    @CborLabel(3) val service: String,
    /** Null on public routes. */
    @CborLabel(4) val workspace: String?,
    /** Tokens to charge to the limit of the workspace; 0 if the request was charged before. */
    @CborLabel(5) val charge: Long,
    @CborLabel(6) val zone: String,
    /** Target time in milliseconds until the answer begins. */
    @CborLabel(7) val targetMillis: Long,
    /** Time in milliseconds until the deadline, after which the client no longer waits. */
    @CborLabel(8) @SerialName("leftMillis") val remainingMillis: Long,
    @CborLabel(9) val model: String? = null,
    @CborLabel(10) val adapter: String? = null,
    /** Prompt tokens to process. */
    @CborLabel(11) val promptTokens: Int = 0,
    /** Servers on which the request has failed or was rejected. */
    @CborLabel(12) val exclude: Set<String> = emptySet(),
    /** True if a server has crashed while it ran the request, which may or may not have been the cause. */
    @CborLabel(13) val isSuspect: Boolean = false,
    /** Priority of the workspace or route; 0 is the most urgent. */
    @CborLabel(14) val priority: Int = 0,
    /** Maximum number of output tokens; 0 if the client stated none. */
    @CborLabel(15) val maxOutputTokens: Int = 0,
    /** The client's estimate of the number of output tokens, which is often far off; null if it gave none. */
    @CborLabel(16) val lengthHint: Int? = null,
    /** Limits of servers that [entry] has learnt since the leader last answered it; null if it knows none. */
    @CborLabel(17) val limits: LimitReport? = null,
    /** Software version of the server that must run the request, because it resumes a stream; null for any. */
    @CborLabel(18) val softwareVersion: String? = null,
) {
    /** True if the software version of [server] allows it to run the request. */
    public fun mayRunOn(server: ServerReport): Boolean = softwareVersion == null || softwareVersion == server.softwareVersion
}
