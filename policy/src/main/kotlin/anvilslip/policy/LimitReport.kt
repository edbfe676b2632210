@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Limits of backend servers that an entry instance has learnt from their answers. */
@Serializable
public data class LimitReport(
    /** Term of the leader that knows all earlier statements of the instance; null if [statements] are all that the instance knows. */
    @CborLabel(1) val term: Long?,
    @CborLabel(2) val statements: List<LimitStatement>,
    /** Number of the last statement that the instance has made. */
    @CborLabel(3) val lastNumber: Long,
)
