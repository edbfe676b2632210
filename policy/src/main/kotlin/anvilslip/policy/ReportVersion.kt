@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Identifies a report of a backend server: the start of its process in milliseconds since the epoch, and the report's number in it. */
@Serializable
public data class ReportVersion(
    @CborLabel(1) val startedAtMillis: Long,
    @CborLabel(2) val sequence: Long,
)
