@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.wire

import anvilslip.kernel.Stamp
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** The fields of a [Frame] without its message, which can be read although the message is of a kind that only other builds know. */
@Serializable
internal data class FrameHeader(
    @CborLabel(1) @SerialName("call") val callId: Long,
    @CborLabel(2) val reply: Boolean,
    @CborLabel(3) val stamp: Stamp,
    @CborLabel(5) val level: Int = PeerLevel.CLOSES_ON_UNKNOWN,
)
