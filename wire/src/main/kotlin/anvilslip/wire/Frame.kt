@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.wire

import anvilslip.kernel.Stamp
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What is sent on a connection: a message, the sender's time, and the call it belongs to (0 when none is expected). */
@Serializable
internal data class Frame(
    @CborLabel(1) @SerialName("call") val callId: Long,
    @CborLabel(2) val reply: Boolean,
    @CborLabel(3) val stamp: Stamp,
    @CborLabel(4) val message: PeerMessage,
)
