@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Position of a decision to send a request to a limited server among all that the leader of [term] has decided and learnt. */
@Serializable
public data class LimitGrant(
    @CborLabel(1) val term: Long,
    @CborLabel(2) val sequence: Long,
)
