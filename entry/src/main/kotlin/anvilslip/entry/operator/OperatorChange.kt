package anvilslip.entry.operator

import anvilslip.state.Change
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A configuration change submitted by an operator. A retry with the same [requestId] returns the outcome of the first submission. */
@Serializable
public data class OperatorChange(
    @SerialName("request_id") val requestId: String,
    @SerialName("expected_revision") val expectedRevision: Long? = null,
    val change: Change,
)
