@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.wire

import anvilslip.kernel.Stamp
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Unit of transmission on a peer connection.
 *
 * @property callId ID of the call that the frame starts or answers; 0 when no answer is expected
 * @property stamp time of the sender's hybrid clock
 * @property level [PeerLevel] of the sender's build
 */
@Serializable
internal data class Frame(
    @CborLabel(1) @SerialName("call") val callId: Long,
    @CborLabel(2) val reply: Boolean,
    @CborLabel(3) val stamp: Stamp,
    @CborLabel(4) val message: PeerMessage,
    @CborLabel(5) val level: Int = PeerLevel.CLOSES_ON_UNKNOWN,
)
