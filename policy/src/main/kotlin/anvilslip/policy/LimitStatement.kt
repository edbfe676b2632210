@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What one answer of a backend server says about the requests per second that it takes from all entry instances together. */
@Serializable
public data class LimitStatement(
    @CborLabel(1) val server: String,
    /** Start of the process that answered, in Unix milliseconds. */
    @CborLabel(2) val startedAtMillis: Long,
    /** Requests per second; null if the answer names no limit. */
    @CborLabel(3) val limit: Double?,
    /** The decision by which the answered request was sent; null if it was taken without knowledge of the limit. */
    @CborLabel(4) val grant: LimitGrant? = null,
    /** Number of the statement at its entry instance; increases with each statement. */
    @CborLabel(5) val number: Long = 0,
) {
    val incarnation: ServerIncarnation get() = ServerIncarnation(server, startedAtMillis)
}
