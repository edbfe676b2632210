@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What one instance knows of requests that may crash backend servers, as sent to other instances. */
@Serializable
public data class SuspectReport(
    /** Identifies the requests; see [SuspectTable]. */
    @CborLabel(1) val key: String,
    /** Incarnations of backend servers that crashed while they ran such a request. */
    @CborLabel(2) val crashes: Set<String>,
    /** Those of [crashes] that count no more, since such a request was served after them. */
    @CborLabel(3) val cleared: Set<String> = emptySet(),
    /** Time in milliseconds since such a request was last seen. */
    @CborLabel(4) val ageMillis: Long = 0,
)
