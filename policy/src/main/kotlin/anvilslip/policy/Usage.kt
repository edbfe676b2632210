@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Running totals of the tokens that an instance spent and returned in [epoch]. Totals make up for lost reports. */
@Serializable
public data class Usage(
    @CborLabel(1) val epoch: Long = 0,
    @CborLabel(2) val spent: Double = 0.0,
    @CborLabel(3) val returned: Double = 0.0,
)
